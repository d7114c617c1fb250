#include "claims/claim_log_store.h"

#include <charconv>

#include "claims/claim_codec.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// Added to the retention time of a lease. Segments written in the first half
/// of this period share the lease; the other half is a margin.
constexpr seconds LeaseSharingPeriod{600};

log_position toPosition(store_revision Revision) {
  return log_position(Revision.value());
}

store_revision toRevision(log_position Position) {
  return store_revision(Position.value());
}

claim_sequence parseSequence(const std::string &Text) {
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return claim_sequence(Number);
}

/// Keeps an answer of the store well below its size limit.
constexpr unsigned SegmentsPerPage = 500;

} // namespace

claim_log_store::claim_log_store(config_store &ConfigStore,
                                 const fleet_name &Fleet,
                                 service_name ServiceName, seconds KeepFor)
    : Store(ConfigStore), Keys(Fleet), Service(std::move(ServiceName)),
      Retention(KeepFor) {}

/// Reads the head first: if another owner writes a segment during the load, the
/// head changes and the next commit of this owner is refused.
awaitable<std::optional<claim_log>> claim_log_store::load() {
  result<range_answer> Head =
      co_await Store.range(Keys.claimHead(Service), false);
  if (!Head)
    co_return std::nullopt;
  claim_log Log;
  for (const store_entry &Entry : Head->Entries) {
    Log.Head = toPosition(Entry.ModifiedAt);
    Log.LastSequence = parseSequence(Entry.Value);
  }
  bool IsComplete = co_await loadSegments(Log);
  if (!IsComplete)
    co_return std::nullopt;
  co_return Log;
}

awaitable<bool> claim_log_store::loadSegments(claim_log &Log) {
  std::string After;
  for (;;) {
    result<range_answer> Page = co_await Store.page(Keys.claimSegments(Service),
                                                    After, SegmentsPerPage);
    if (!Page)
      co_return false;
    for (const store_entry &Entry : Page->Entries)
      if (!addSegment(Entry, Log))
        co_return false;
    if (Page->Entries.size() < SegmentsPerPage)
      co_return true;
    After = Page->Entries.back().Key;
  }
}

/// Returns false if the segment can't be decoded: granting claims without its
/// records could run a call twice.
bool claim_log_store::addSegment(const store_entry &Entry, claim_log &Log) {
  result<claim_segment> Segment = decodeSegment(Entry.Value);
  if (!Segment) {
    log_event("claim_log_unreadable")
        .add("key", Entry.Key)
        .add("error", Segment.error().text());
    return false;
  }
  Log.Segments.push_back(std::move(*Segment));
  return true;
}

awaitable<bool> claim_log_store::ensureLease(instant Now) {
  if (Lease != lease_id() && Now < LeaseUsableUntil)
    co_return true;
  result<lease_id> Granted =
      co_await Store.grantLease(Retention + LeaseSharingPeriod);
  if (!Granted || *Granted == lease_id())
    co_return false;
  Lease = *Granted;
  LeaseUsableUntil = Now + LeaseSharingPeriod / 2;
  co_return true;
}

awaitable<claim_log_store::commit_result>
claim_log_store::commit(const claim_segment &Segment, log_position Head,
                        instant Now) {
  commit_result Result;
  if (!co_await ensureLease(Now))
    co_return Result;
  store_transaction Transaction;
  std::string Key = Keys.claimSegment(Service, Segment.Sequence);
  Transaction.Conditions.push_back({Key, store_revision()});
  Transaction.Conditions.push_back({Keys.claimHead(Service), toRevision(Head)});
  Transaction.Puts.push_back({Key, encodeSegment(Segment), Lease});
  Transaction.Puts.push_back({Keys.claimHead(Service),
                              std::to_string(Segment.Sequence.value()),
                              lease_id()});
  result<transaction_answer> Done =
      co_await Store.commit(std::move(Transaction));
  if (!Done) {
    // The lease may have expired; the next attempt requests a new one.
    LeaseUsableUntil = instant();
    co_return Result;
  }
  Result.End = Done->Succeeded ? commit_end::committed : commit_end::refused;
  Result.Head = toPosition(Done->Revision);
  co_return Result;
}

awaitable<std::optional<read_back_result>>
claim_log_store::readBack(claim_sequence Sequence) {
  result<range_answer> Found =
      co_await Store.range(Keys.claimSegment(Service, Sequence), false);
  if (!Found)
    co_return std::nullopt;
  read_back_result Result;
  if (Found->Entries.empty())
    co_return Result;
  result<claim_segment> Segment = decodeSegment(Found->Entries.front().Value);
  // A segment that can't be decoded was not written by this node.
  Result.Batch = Segment ? Segment->Batch : batch_id();
  Result.Head = toPosition(Found->Entries.front().ModifiedAt);
  co_return Result;
}

} // namespace chivebeam
