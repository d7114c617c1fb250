#pragma once

#include <memory>

#include "base/names.h"
#include "mesh/header_list.h"
#include "routing/home_load.h"
#include "routing/retry_policy.h"

namespace chivebeam {

/// A body that several owners share while a call is under way.
using shared_body = std::shared_ptr<const std::string>;

/// One call as an entry node passes it to a home node. A plain value.
struct mesh_call {
  request_id Id;
  service_name Service;
  route_name Route;
  worker_id Worker; ///< the backend server that is meant, and no other
  std::string Method;
  std::string Target;
  header_list Fields;
  shared_body Body;
  instant Deadline;
  instant Goal; ///< an answer until then is worth most
  unsigned Urgency = 0;
  bool Idempotent = false;
  unsigned Unasked = 0; ///< calls like it that were refused without asking
  bool Repeat = false;  ///< it, or the call it is made for, was sent before
  bool Nested = false; ///< a backend server makes it while it runs another call
  microseconds Usual{0}; ///< such calls take so long elsewhere; zero: unknown
  /// Size of a body that is sent once the home node wants it; zero: the body is
  /// here.
  std::uint64_t OfferedBytes = 0;
};

/// What became of one attempt at a backend server. A plain value.
struct mesh_answer {
  attempt_outcome Outcome = attempt_outcome::lost;
  unsigned Status = 0; ///< of the backend server's answer; zero if none
  header_list Fields;
  shared_body Body;
  home_load Load;
  microseconds Ran{0};      ///< how long the backend server took; zero: not run
  microseconds Wait{0};     ///< after a refusal: until there may be room
  std::string Reason;       ///< why there is no answer, for the log
  bool Unreachable = false; ///< the home node itself could not be reached
};

/// Returns an answer that holds no more than its outcome and the reason.
inline mesh_answer noAnswer(attempt_outcome Outcome, std::string Reason) {
  mesh_answer Answer;
  Answer.Outcome = Outcome;
  Answer.Reason = std::move(Reason);
  return Answer;
}

} // namespace chivebeam
