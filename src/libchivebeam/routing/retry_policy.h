#pragma once

#include <string_view>

#include "base/units.h"

namespace chivebeam {

/// How far one attempt at a backend server came.
enum class attempt_outcome {
  answered,       ///< the backend server's whole answer is here
  server_failed,  ///< the same, and the answer is a failure of the server
  not_sent,       ///< no byte of the call reached the backend server
  server_refused, ///< the backend server says that it did not run the call
  lost,           ///< it may have run; no whole answer came
};

std::string_view toString(attempt_outcome Outcome);

/// What is done after an attempt.
enum class next_step {
  deliver,  ///< pass the backend server's answer on
  retry,    ///< try another backend server
  refuse,   ///< answer that the call has not run and never will
  fail,     ///< answer that it may have run
  time_out, ///< the same, and the time is up
};

std::string_view toString(next_step Step);

/// What one call has been through so far. A plain value.
struct attempt_history {
  bool Idempotent = false;
  bool MayHaveRun = false;     ///< some attempt was lost or failed
  unsigned ServersReached = 0; ///< backend servers that the call has reached
  unsigned MaxServers = 1;
  bool UntriedServerLeft =
      false;            ///< a backend server is left that was not tried
  bool TimeLeft = true; ///< another attempt can end before the deadline
};

/// Decides what follows an attempt. BudgetLeft is asked only if one more
/// arrival would draw on the repeat budget. A call that may have run is sent
/// again only if it is idempotent, and is never reported as not run. Thread
/// safe.
template <typename Budget>
next_step decideNext(attempt_outcome Outcome, const attempt_history &History,
                     Budget &&BudgetLeft);

/// True if the call counts as having reached a backend server.
bool reachedServer(attempt_outcome Outcome);

/// Returns how a call ends that gets no further attempt.
next_step lastStep(attempt_outcome Outcome, const attempt_history &History);

template <typename Budget>
next_step decideNext(attempt_outcome Outcome, const attempt_history &History,
                     Budget &&BudgetLeft) {
  if (Outcome == attempt_outcome::answered)
    return next_step::deliver;
  bool Repeatable = Outcome == attempt_outcome::not_sent ||
                    Outcome == attempt_outcome::server_refused ||
                    History.Idempotent;
  // Whoever was not reached yet would be the first: that costs no budget.
  bool Allowed = History.ServersReached == 0 ||
                 (History.ServersReached < History.MaxServers && Repeatable);
  if (Repeatable && Allowed && History.UntriedServerLeft && History.TimeLeft &&
      (History.ServersReached == 0 || BudgetLeft()))
    return next_step::retry;
  return lastStep(Outcome, History);
}

} // namespace chivebeam
