#include "store/skipped_entries.h"

#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// Bounds the memory. With more such keys, some are logged again.
constexpr std::size_t MaxKeys = 512;

} // namespace

void skipped_entries::skip(const store_entry &Entry, const error &Problem) {
  auto Found = Logged.find(Entry.Key);
  if (Found != Logged.end() && Found->second == Entry.ModifiedAt)
    return;
  if (Found == Logged.end() && Logged.size() >= MaxKeys)
    Logged.erase(Logged.begin());
  Logged[Entry.Key] = Entry.ModifiedAt;
  log_event("store_entry_skipped")
      .add("key", Entry.Key)
      .add("revision", Entry.ModifiedAt)
      .add("error", Problem.text());
}

} // namespace chivebeam
