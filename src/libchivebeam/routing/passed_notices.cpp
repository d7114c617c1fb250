#include "routing/passed_notices.h"

#include <algorithm>

namespace chivebeam {

namespace {

constexpr std::size_t MaxServers = 4'096;

} // namespace

void passed_notices::answered(const worker_start &Server,
                              const server_notice &Notice, instant Now) {
  auto Found = Servers.find(Server.Worker);
  bool IsKnown = Found != Servers.end();
  if (IsKnown && Found->second.StartedAtMs > Server.StartedAtMs)
    return;
  if (IsKnown && Found->second.StartedAtMs < Server.StartedAtMs)
    Found->second = {Server.StartedAtMs, {}, Now};
  if (!IsKnown && !Notice.RateLimit && !Notice.IsLeaving)
    return;
  entry &Entry = Servers[Server.Worker];
  Entry.StartedAtMs = Server.StartedAtMs;
  Entry.At = Now;
  if (!Notice.IsRateLimitInvalid)
    Entry.Notice.RateLimit = Notice.RateLimit;
  Entry.Notice.IsLeaving = Entry.Notice.IsLeaving || Notice.IsLeaving;
  if (!Entry.Notice.RateLimit && !Entry.Notice.IsLeaving)
    Servers.erase(Server.Worker);
  if (Servers.size() > MaxServers)
    dropOldest();
}

void passed_notices::dropOldest() {
  Servers.erase(std::min_element(Servers.begin(), Servers.end(),
                                 [](const auto &Left, const auto &Right) {
                                   return Left.second.At < Right.second.At;
                                 }));
}

const passed_notices::entry *
passed_notices::find(const worker_start &Server) const {
  auto Found = Servers.find(Server.Worker);
  return Found == Servers.end() ||
                 Found->second.StartedAtMs != Server.StartedAtMs
             ? nullptr
             : &Found->second;
}

bool passed_notices::isLeaving(const worker_start &Server) const {
  const entry *Entry = find(Server);
  return Entry && Entry->Notice.IsLeaving;
}

std::optional<call_rate>
passed_notices::rateLimit(const worker_start &Server) const {
  const entry *Entry = find(Server);
  return Entry ? Entry->Notice.RateLimit : std::nullopt;
}

} // namespace chivebeam
