#pragma once

#include <functional>
#include <optional>
#include <set>

#include "base/random.h"
#include "claims/claim_registry.h"

namespace chivebeam {

/// Limits and intervals of the owner of one claim log.
struct claim_limits {
  microseconds CommitInterval{30'000};   ///< minimum time between two commits
  microseconds EndFlushDelay{1'000'000}; ///< how long ends wait for a claim to
                                         ///< share a commit with
  microseconds RetryDelay{250'000}; ///< between attempts on a failing store
  microseconds Retention{ClaimRetention};
  std::size_t MaxClaims = 200'000;
  std::size_t MaxWaiters = 4'096; ///< requests not answered yet
  std::size_t MaxSegmentRecords = 4'096;
};

/// Identifies a request until it is answered.
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

/// One store call that the owner needs; only one runs at a time.
struct log_step {
  log_step_kind Kind = log_step_kind::load;
  claim_segment Segment; ///< to commit, or whose sequence number is read back
  log_position Head;     ///< the commit succeeds only if the head is still at
                         ///< this position
};

enum class commit_end {
  committed, ///< the segment is in the log
  refused,   ///< another segment was written, or this one exists already
  failed,    ///< no answer; it may still take effect
};

/// Content of the log at the sequence number of a commit without an answer.
struct read_back_result {
  std::optional<batch_id> Batch; ///< empty: there is no segment
  log_position Head;
};

/// Makes the decisions of the owner of one service's claim log. A claim is
/// granted only once the segment with its record is in the store. The shard
/// does no I/O: its user takes a step from nextStep, runs the store call and
/// reports the result. If the answer to a commit is lost, the segment is read
/// back and committed again until the result is known; nothing else is written
/// before. A commit that is refused because another segment was written means
/// that another node owns the log: all waiting requests are answered not_owner
/// and the log is loaded again. Not thread safe.
class claim_shard {
public:
  claim_shard(claim_limits Limits, std::uint64_t Seed);

  /// Makes the shard load the log before it grants another claim.
  void requireReload();
  void setCommitInterval(microseconds Interval) {
    Limits.CommitInterval = Interval;
  }
  void ask(claim_ticket Ticket, const claim_request &Request, instant Now);
  void end(const claim_end &End, instant Now);

  /// Returns the next store call if one is due and none is running.
  std::optional<log_step> nextStep(instant Now);
  /// Reports the result of a load; Log is empty if it failed.
  void loadEnded(const std::optional<claim_log> &Log, instant Now);
  void commitEnded(commit_end End, log_position Head, instant Now);
  /// Reports the result of a read-back; Found is empty if it failed.
  void readBackEnded(const std::optional<read_back_result> &Found, instant Now);

  /// Answers requests whose waiting time has passed and removes old claims.
  void tick(instant Now);
  std::vector<claim_reply> takeReplies();
  /// Returns the latest time at which nextStep and tick must be called again.
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
  /// Decides again about the requests that wait for a claim of this key.
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
  std::optional<claim_segment> Batch;       ///< sent, result not known yet
  bool StepOpen = false;
  bool NeedReadBack = false;
  bool BatchRefused = false;
  bool StoreFailing = false;
  unsigned Failures = 0;
  instant RetryAt;
  instant NextCommitAt;
  std::vector<request_waiter> Waiters;
  std::vector<claim_end> EndsToApply; ///< to be applied after a load
  std::map<claim_id, instant> Cancelled;
  std::vector<claim_reply> Replies;
};

} // namespace chivebeam
