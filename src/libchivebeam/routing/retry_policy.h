#pragma once

#include <string_view>

#include "base/units.h"

namespace chivebeam {

/// Result of one attempt to run a call on a backend server.
enum class attempt_outcome {
  answered,       ///< a complete answer of the backend server arrived
  server_failed,  ///< the same, but the answer is a server failure
  not_sent,       ///< no byte of the call reached the backend server
  server_refused, ///< the backend server reports that it did not run it
  lost,           ///< it may have run; no complete answer arrived
};

std::string_view toString(attempt_outcome Outcome);

/// What to do after an attempt.
enum class next_step {
  deliver,  ///< forward the backend server's answer
  retry,    ///< on another backend server
  refuse,   ///< answer that the call was not and will not be run
  fail,     ///< answer that it may have run
  time_out, ///< the same; the deadline is too close or has passed
};

std::string_view toString(next_step Step);

/// State of a call over its attempts. A plain value.
struct attempt_history {
  bool Idempotent = false;
  bool MayHaveRun = false;     ///< an attempt was lost or failed
  unsigned ServersReached = 0; ///< backend servers that the call has reached
  unsigned MaxServers = 1;
  bool UntriedServerLeft = false;
  bool TimeLeft = true; ///< another attempt can end before the deadline
};

/// Decides what to do after an attempt. Calls BudgetLeft only if a retry would
/// use the retry budget. A call that may have run is retried only if it is
/// idempotent, and is never reported as not run. Thread safe.
template <typename Budget>
next_step decideNext(attempt_outcome Outcome, const attempt_history &History,
                     Budget &&BudgetLeft);

/// Returns true if the call counts as having reached a backend server.
bool reachedServer(attempt_outcome Outcome);

/// Returns how a call ends that is not retried.
next_step lastStep(attempt_outcome Outcome, const attempt_history &History);

template <typename Budget>
next_step decideNext(attempt_outcome Outcome, const attempt_history &History,
                     Budget &&BudgetLeft) {
  if (Outcome == attempt_outcome::answered)
    return next_step::deliver;
  bool Repeatable = Outcome == attempt_outcome::not_sent ||
                    Outcome == attempt_outcome::server_refused ||
                    History.Idempotent;
  // While no backend server was reached, the next one is the first and does not
  // use the budget.
  bool Allowed = History.ServersReached == 0 ||
                 (History.ServersReached < History.MaxServers && Repeatable);
  if (Repeatable && Allowed && History.UntriedServerLeft && History.TimeLeft &&
      (History.ServersReached == 0 || BudgetLeft()))
    return next_step::retry;
  return lastStep(Outcome, History);
}

} // namespace chivebeam
