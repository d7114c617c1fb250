#pragma once

#include <memory>
#include <optional>

#include "base/names.h"
#include "membership/home_record.h"
#include "mesh/header_list.h"
#include "routing/call_fingerprint.h"
#include "routing/call_rank.h"
#include "routing/home_load.h"
#include "routing/retry_policy.h"
#include "routing/server_notice.h"

namespace chivebeam {

/// An immutable message body that all owners of a call share.
using shared_body = std::shared_ptr<const std::string>;

/// Largest answer of a backend server. Answers are buffered completely, so that
/// a truncated one is never forwarded as complete.
inline constexpr std::uint64_t MaxAnswerBytes = 16 << 20;

/// A call as an entry node forwards it to a home node. Value type.
struct mesh_call {
  request_id Id;
  service_name Service;
  route_name Route;
  worker_id Worker; ///< the only backend server that may run the call
  std::string Method;
  std::string Target;
  header_list Fields;
  shared_body Body;
  instant Deadline;
  instant Goal;         ///< latency goal: a later answer is worth less
  unsigned Urgency = 0; ///< of the route
  /// Of the caller's API key; empty for anonymous and nested calls.
  workspace_name Workspace;
  /// Of this call, see priorityOfCall; 0 is the highest.
  unsigned WorkspacePriority = 0;
  bool Idempotent = false;
  /// Similar calls that the entry node refused without asking a home node
  /// since it last sent one.
  unsigned RefusedAtEntry = 0;
  /// True if this call or its parent call was sent before.
  bool IsRetry = false;
  /// True if the call must not wait for a slot: the home node runs it at once,
  /// or says that no slot is free.
  bool OnlyIfFree = false;
  bool Nested = false; ///< sent by a backend server while it runs another call
  /// Usual run time of such calls as the entry node has seen it; zero if
  /// unknown.
  microseconds UsualDuration{0};
  /// Size of a body that is sent only after the home node has asked for it;
  /// zero if Body is complete.
  std::uint64_t OfferedBytes = 0;
  /// Rate limit in the last answer of the backend server that the entry node
  /// passed on.
  std::optional<call_rate> KnownRateLimit;
  /// Of the complete call; zero if the entry node sends none.
  call_fingerprint Fingerprint;

  /// Returns the rank among waiting calls; lower ranks go first.
  unsigned rank() const { return rankOf(WorkspacePriority, Urgency); }
};

/// Result of one attempt at a backend server. Value type.
struct mesh_answer {
  attempt_outcome Outcome = attempt_outcome::lost;
  /// Status code of the backend server's answer; zero if there is none.
  unsigned Status = 0;
  header_list Fields;
  shared_body Body;
  /// Of the backend server. In an answer from another node it is read from the
  /// fields.
  server_notice Notice;
  home_load Load;
  /// Run time of the call at the backend server; zero if it was not run.
  microseconds RunTime{0};
  /// After a refusal: time until capacity may be free.
  microseconds RetryAfter{0};
  /// Start of the backend server that ended while it ran the call. Its name is
  /// empty in an answer from another node.
  std::optional<worker_start> EndedServer;
  /// True if the call was refused after its workspace sent more than its share;
  /// other calls of the same rank may be taken.
  bool BeyondShare = false;
  /// True if the call was not run because it was not to wait for a slot.
  bool NoFreeSlot = false;
  std::string Reason;       ///< why there is no answer; written to the log
  bool Unreachable = false; ///< true if the home node could not be reached
  /// True if the home node is only silent, so that the answer may still come.
  bool Silent = false;
  /// True if the attempt goes on while a second copy of the call is sent.
  bool Hedged = false;
  /// True if another attempt was answered first.
  bool Superseded = false;
};

/// Returns an answer without status and body that has an outcome and the reason
/// for it.
inline mesh_answer emptyAnswer(attempt_outcome Outcome, std::string Reason) {
  mesh_answer Answer;
  Answer.Outcome = Outcome;
  Answer.Reason = std::move(Reason);
  return Answer;
}

} // namespace chivebeam
