#pragma once

#include <functional>
#include <optional>
#include <set>

#include "base/random.h"
#include "claims/claim_registry.h"

namespace chivebeam {

/// Bounds of one claim log's owner.
struct claim_limits {
  microseconds CommitInterval{30'000};   ///< least time between two commits
  microseconds EndFlushDelay{1'000'000}; ///< ends wait so long for a claim
  microseconds RetryDelay{250'000};      ///< between tries of a failing store
  microseconds Retention{ClaimRetention};
  std::size_t MaxClaims = 200'000;
  std::size_t MaxWaiters = 4'096; ///< questions without an answer yet
  std::size_t MaxSegmentRecords = 4'096;
};

/// Names a question until it is answered.
using claim_ticket = basic_number<struct claim_ticket_tag>;

struct claim_reply {
  claim_ticket Ticket;
  claim_answer Answer;
};

/// A claim log as read from the store.
struct claim_log {
  log_position Head; ///< zero: the log was never written
  claim_sequence LastSequence;
  std::vector<claim_segment> Segments; ///< oldest first
};

enum class log_step_kind { load, commit, read_back };

/// One call of the store that the owner needs; only one is open at a time.
struct log_step {
  log_step_kind Kind = log_step_kind::load;
  claim_segment Segment; ///< to commit, or whose sequence to read back
  log_position Head;     ///< the commit holds only if the head is still here
};

enum class commit_end {
  committed, ///< the segment is in the log
  refused,   ///< the log has moved on, or the segment is there already
  failed,    ///< no answer; it may yet take effect
};

/// What stands in the log at the sequence of a commit without an answer.
struct read_back_result {
  std::optional<batch_id> Batch; ///< none: nothing stands there
  log_position Head;
};

/// Decides for the owner of one service's claim log. A claim is granted only
/// once the segment with its record is in the store. The store is called by
/// the caller: it takes a step from nextStep, runs it and reports its end. A
/// commit whose answer was lost is read back, and the same segment is sent
/// again until its fate is known; nothing else is written before. A commit
/// that finds the log moved on shows that another node owns it now: all
/// questions are answered not_owner and the log is read anew. Not thread safe.
class claim_shard {
public:
  claim_shard(claim_limits Limits, std::uint64_t Seed);

  /// Makes the shard read the log before it grants anything again.
  void requireReload();
  void setCommitInterval(microseconds Interval) {
    Limits.CommitInterval = Interval;
  }
  void ask(claim_ticket Ticket, const claim_request &Request, instant Now);
  void end(const claim_end &End, instant Now);

  /// Returns the next call of the store if one is due and none is open.
  std::optional<log_step> nextStep(instant Now);
  /// Ends a load; nothing if it failed.
  void loadEnded(const std::optional<claim_log> &Log, instant Now);
  void commitEnded(commit_end End, log_position Head, instant Now);
  /// Ends a read-back; nothing if it failed.
  void readBackEnded(const std::optional<read_back_result> &Found, instant Now);

  /// Answers questions that have waited long enough.
  void tick(instant Now);
  std::vector<claim_reply> takeReplies();
  /// Returns when nextStep or tick has something to do at the latest.
  instant nextWakeTime(instant Now) const;
  bool isStoreFailing() const { return StoreFailing; }
  std::size_t claims() const { return Registry.size(); }

private:
  struct request_waiter {
    claim_ticket Ticket;
    claim_request Request;
  };

  void decide(const request_waiter &Waiter, instant Now);
  void claim(const request_waiter &Waiter, instant Now);
  void reply(claim_ticket Ticket, claim_verdict Verdict, unsigned Status = 0);
  /// Answers the questions that wait for a claim of this key.
  void decideWaiters(const claim_key &Key, instant Now);
  void answerAll(claim_verdict Verdict);
  void abandonPending();
  void append(claim_event Event, const claim_entry &Entry, instant Now);
  claim_segment nextSegment();
  bool isCommitDue(instant Now) const;
  void batchCommitted(log_position NewHead, instant Now);
  void loseOwnership(instant Now);
  void recordStoreFailure(instant Now);
  void keepPendingEnds();

  claim_limits Limits;
  random_source Random;
  claim_registry Registry;
  bool Loaded = false;
  log_position Head;
  claim_sequence LastSequence;
  std::vector<claim_record> PendingRecords; ///< for the next segment
  std::optional<claim_segment> Batch;       ///< committed, fate not known
  bool StepOpen = false;
  bool NeedReadBack = false;
  bool BatchRefused = false;
  bool StoreFailing = false;
  unsigned Failures = 0;
  instant RetryAt;
  instant NextCommitAt;
  std::vector<request_waiter> Waiters;
  std::vector<claim_end> EndsToApply; ///< to be taken in after a load
  std::map<claim_id, instant> Cancelled;
  std::vector<claim_reply> Replies;
};

} // namespace chivebeam
