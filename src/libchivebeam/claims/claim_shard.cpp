#include "claims/claim_shard.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// How long the id of a released claim is remembered, so that a request that
/// arrives after its release is refused.
constexpr seconds CancelledRetention{120};
/// Consecutive store failures after which requests are refused immediately.
constexpr unsigned FailuresBeforeRefusal = 2;

bool isNotDurable(const claim_entry &Entry) {
  return Entry.State == claim_state::pending ||
         Entry.State == claim_state::abandoned;
}

/// Returns the answer to a request for a known key; nothing if the request has
/// to wait until the claim is durable or the call has ended.
std::optional<claim_answer> immediateAnswer(const claim_entry &Entry,
                                            const claim_request &Request,
                                            instant Now) {
  if (Entry.State == claim_state::abandoned)
    return claim_answer{claim_verdict::unavailable};
  if (Entry.Claim.Request != Request.Request)
    return claim_answer{claim_verdict::other_request};
  if (Entry.State == claim_state::ran)
    return claim_answer{claim_verdict::ran, Entry.Status};
  if (Entry.State == claim_state::pending)
    return std::nullopt;
  if (Entry.State == claim_state::claimed && Entry.Claim.Id == Request.Id)
    return claim_answer{claim_verdict::granted};
  if (Entry.State == claim_state::unknown || Now >= Entry.Claim.RunsUntil)
    return claim_answer{claim_verdict::unknown};
  if (Now >= Request.WaitUntil)
    return claim_answer{claim_verdict::running};
  return std::nullopt;
}

} // namespace

claim_shard::claim_shard(claim_limits ShardLimits, std::uint64_t Seed)
    : Limits(ShardLimits), Random(Seed) {}

void claim_shard::requireReload() { Loaded = false; }

void claim_shard::reply(claim_ticket Ticket, claim_verdict Verdict,
                        unsigned Status) {
  Replies.push_back({Ticket, {Verdict, Status}});
}

std::vector<claim_reply> claim_shard::takeReplies() {
  return std::exchange(Replies, {});
}

void claim_shard::ask(claim_ticket Ticket, const claim_request &Request,
                      instant Now) {
  if (Waiters.size() >= Limits.MaxWaiters) {
    reply(Ticket, claim_verdict::over_limit);
    return;
  }
  decide({Ticket, Request}, Now);
}

void claim_shard::decide(const request_waiter &Waiter, instant Now) {
  if (!Loaded) {
    if (StoreFailing)
      reply(Waiter.Ticket, claim_verdict::unavailable);
    else
      Waiters.push_back(Waiter);
    return;
  }
  claim_entry *Entry = Registry.find(Waiter.Request.Key);
  if (!Entry) {
    claim(Waiter, Now);
    return;
  }
  if (std::optional<claim_answer> Answer =
          immediateAnswer(*Entry, Waiter.Request, Now))
    Replies.push_back({Waiter.Ticket, *Answer});
  else
    Waiters.push_back(Waiter);
}

void claim_shard::claim(const request_waiter &Waiter, instant Now) {
  if (StoreFailing || Cancelled.contains(Waiter.Request.Id)) {
    reply(Waiter.Ticket, claim_verdict::unavailable);
    return;
  }
  if (Registry.size() >= Limits.MaxClaims) {
    reply(Waiter.Ticket, claim_verdict::over_limit);
    return;
  }
  claim_record Record;
  Record.Key = Waiter.Request.Key;
  Record.Request = Waiter.Request.Request;
  Record.Id = Waiter.Request.Id;
  Record.At = Now;
  Record.RunsUntil = Waiter.Request.RunsUntil;
  Registry.addPending(Record);
  PendingRecords.push_back(Record);
  Waiters.push_back(Waiter);
}

void claim_shard::append(claim_event Event, const claim_entry &Entry,
                         instant Now) {
  claim_record Record = Entry.Claim;
  Record.Event = Event;
  Record.Status = Entry.Status;
  Record.At = Now;
  PendingRecords.push_back(std::move(Record));
}

void claim_shard::end(const claim_end &End, instant Now) {
  if (!Loaded) {
    EndsToApply.push_back(End);
    return;
  }
  if (End.Outcome == claim_outcome::released)
    Cancelled[End.Id] = Now;
  claim_entry *Entry = Registry.find(End.Key);
  if (!Entry || Entry->Claim.Id != End.Id)
    return;
  if (isNotDurable(*Entry)) {
    // The holder abandoned the call before the grant reached it.
    if (End.Outcome == claim_outcome::released)
      Entry->State = claim_state::abandoned;
  } else if (End.Outcome == claim_outcome::ran) {
    if (Entry->State == claim_state::ran)
      return;
    Entry->State = claim_state::ran;
    Entry->Status = End.Status;
    append(claim_event::ran, *Entry, Now);
  } else if (Entry->State == claim_state::claimed) {
    if (End.Outcome == claim_outcome::released) {
      append(claim_event::released, *Entry, Now);
      Registry.erase(End.Key);
    } else {
      Entry->State = claim_state::unknown;
    }
  }
  decideWaiters(End.Key, Now);
}

void claim_shard::decideWaiters(const claim_key &Key, instant Now) {
  std::vector<request_waiter> Resumed;
  std::erase_if(Waiters, [&](const request_waiter &Waiter) {
    if (Waiter.Request.Key != Key)
      return false;
    Resumed.push_back(Waiter);
    return true;
  });
  for (const request_waiter &Waiter : Resumed)
    decide(Waiter, Now);
}

void claim_shard::answerAll(claim_verdict Verdict) {
  for (const request_waiter &Waiter : Waiters)
    reply(Waiter.Ticket, Verdict);
  Waiters.clear();
}

bool claim_shard::isCommitDue(instant Now) const {
  if (PendingRecords.empty() || Now < NextCommitAt)
    return false;
  bool HasClaim = std::any_of(PendingRecords.begin(), PendingRecords.end(),
                              [](const claim_record &Record) {
                                return Record.Event == claim_event::claimed;
                              });
  return HasClaim || Now >= PendingRecords.front().At + Limits.EndFlushDelay;
}

claim_segment claim_shard::nextSegment() {
  std::size_t Count = std::min(PendingRecords.size(), Limits.MaxSegmentRecords);
  auto SegmentEnd = PendingRecords.begin() + static_cast<std::ptrdiff_t>(Count);
  claim_segment Segment;
  Segment.Sequence = LastSequence.next();
  Segment.Batch = batch_id(Random.below(UINT64_MAX) + 1);
  Segment.Records.assign(PendingRecords.begin(), SegmentEnd);
  PendingRecords.erase(PendingRecords.begin(), SegmentEnd);
  return Segment;
}

std::optional<log_step> claim_shard::nextStep(instant Now) {
  if (StepOpen || Now < RetryAt)
    return std::nullopt;
  log_step Step;
  if (Batch) {
    Step = {NeedReadBack ? log_step_kind::read_back : log_step_kind::commit,
            *Batch, Head};
  } else if (!Loaded) {
    if (Waiters.empty() && EndsToApply.empty() && !StoreFailing)
      return std::nullopt;
  } else {
    if (!isCommitDue(Now))
      return std::nullopt;
    Batch = nextSegment();
    BatchRefused = false;
    NextCommitAt = Now + Limits.CommitInterval;
    Step = {log_step_kind::commit, *Batch, Head};
  }
  StepOpen = true;
  return Step;
}

void claim_shard::loadEnded(const std::optional<claim_log> &Log, instant Now) {
  StepOpen = false;
  if (!Log) {
    Failures = FailuresBeforeRefusal;
    recordStoreFailure(Now);
    return;
  }
  Failures = 0;
  StoreFailing = false;
  Loaded = true;
  Head = Log->Head;
  LastSequence = Log->LastSequence;
  keepPendingEnds();
  PendingRecords.clear();
  Registry = claim_registry();
  for (const claim_segment &Segment : Log->Segments)
    for (const claim_record &Record : Segment.Records)
      Registry.apply(Record);
  Registry.removeClaimsBefore(Now - Limits.Retention);
  for (const claim_end &End : std::exchange(EndsToApply, {}))
    end(End, Now);
  for (const request_waiter &Waiter : std::exchange(Waiters, {}))
    decide(Waiter, Now);
}

void claim_shard::keepPendingEnds() {
  for (const claim_record &Record : PendingRecords)
    if (Record.Event != claim_event::claimed)
      EndsToApply.push_back({Record.Id, Record.Key,
                             Record.Event == claim_event::ran
                                 ? claim_outcome::ran
                                 : claim_outcome::released,
                             Record.Status});
}

void claim_shard::commitEnded(commit_end End, log_position NewHead,
                              instant Now) {
  StepOpen = false;
  if (End == commit_end::committed) {
    batchCommitted(NewHead, Now);
    return;
  }
  NeedReadBack = true;
  BatchRefused = End == commit_end::refused;
  if (End == commit_end::failed)
    recordStoreFailure(Now);
}

void claim_shard::readBackEnded(const std::optional<read_back_result> &Found,
                                instant Now) {
  StepOpen = false;
  if (!Found) {
    recordStoreFailure(Now);
  } else if (Found->Batch == Batch->Batch) {
    batchCommitted(Found->Head, Now);
  } else if (Found->Batch || BatchRefused) {
    loseOwnership(Now);
  } else {
    NeedReadBack = false;
  }
}

void claim_shard::batchCommitted(log_position NewHead, instant Now) {
  claim_segment Committed = std::move(*Batch);
  Batch.reset();
  NeedReadBack = false;
  StoreFailing = false;
  Failures = 0;
  Head = NewHead;
  LastSequence = Committed.Sequence;
  for (const claim_record &Record : Committed.Records) {
    claim_entry *Entry = Registry.find(Record.Key);
    if (Record.Event != claim_event::claimed || !Entry ||
        Entry->Claim.Id != Record.Id || !isNotDurable(*Entry))
      continue;
    if (Entry->State == claim_state::abandoned) {
      append(claim_event::released, *Entry, Now);
      Registry.erase(Record.Key);
    } else {
      Entry->State = claim_state::claimed;
    }
    decideWaiters(Record.Key, Now);
  }
}

void claim_shard::loseOwnership(instant) {
  PendingRecords.insert(PendingRecords.begin(), Batch->Records.begin(),
                        Batch->Records.end());
  Batch.reset();
  NeedReadBack = false;
  keepPendingEnds();
  PendingRecords.clear();
  Loaded = false;
  answerAll(claim_verdict::not_owner);
}

void claim_shard::abandonPending() {
  for (const request_waiter &Waiter : Waiters)
    if (claim_entry *Entry = Registry.find(Waiter.Request.Key);
        Entry && Entry->State == claim_state::pending)
      Entry->State = claim_state::abandoned;
}

void claim_shard::recordStoreFailure(instant Now) {
  ++Failures;
  if (Failures < FailuresBeforeRefusal)
    return;
  StoreFailing = true;
  RetryAt = Now + Limits.RetryDelay;
  abandonPending();
  answerAll(claim_verdict::unavailable);
}

void claim_shard::tick(instant Now) {
  Registry.removeClaimsBefore(Now - Limits.Retention);
  std::erase_if(Cancelled, [&](const auto &Item) {
    return Item.second + CancelledRetention < Now;
  });
  std::vector<request_waiter> Expired;
  std::erase_if(Waiters, [&](const request_waiter &Waiter) {
    if (Now < Waiter.Request.WaitUntil)
      return false;
    Expired.push_back(Waiter);
    return true;
  });
  for (const request_waiter &Waiter : Expired) {
    claim_entry *Entry = Loaded ? Registry.find(Waiter.Request.Key) : nullptr;
    bool IsOwnClaim = Entry && Entry->Claim.Id == Waiter.Request.Id;
    if (IsOwnClaim && Entry->State == claim_state::pending)
      Entry->State = claim_state::abandoned;
    bool IsRefused = !Entry || (IsOwnClaim && isNotDurable(*Entry));
    reply(Waiter.Ticket,
          IsRefused ? claim_verdict::unavailable : claim_verdict::running);
  }
}

instant claim_shard::nextWakeTime(instant Now) const {
  instant At = Now + seconds(1);
  if (StoreFailing || RetryAt > Now)
    At = std::min(At, RetryAt);
  if (!PendingRecords.empty())
    At = std::min(At, std::max(Now + milliseconds(1), NextCommitAt));
  for (const request_waiter &Waiter : Waiters)
    At = std::min(At, Waiter.Request.WaitUntil);
  return std::max(At, Now);
}

} // namespace chivebeam
