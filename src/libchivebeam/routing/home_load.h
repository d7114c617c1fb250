#pragma once

#include "routing/refusal_ratios.h"

namespace chivebeam {

/// A home node accepts a call that will miss its goal, but not its deadline,
/// only while fewer calls than this wait for each slot.
inline constexpr double MaxLateCallsPerSlot = 0.5;

/// Load of the backend server of a home node; sent with every answer between
/// nodes. A plain value.
struct home_load {
  unsigned Running = 0;
  unsigned Waiting = 0;        ///< in the home node's queue
  unsigned Limit = 0;          ///< calls that run at a time; zero: none now
  microseconds ServiceTime{0}; ///< mean of recent calls; zero: unknown
  unsigned FailedPermille = 0; ///< of recent calls
  refusal_ratios Refused;      ///< of recent calls of outside callers
  refusal_ratios Downstream;   ///< the same, at services that this one calls
  /// Used part of the retry budgets of the services that this one calls.
  unsigned DownstreamRetryBudgetPermille = 0;
  /// Mean time between the starts of two calls by the rate limit of the backend
  /// server; zero: it names no limit.
  microseconds StartInterval{0};
  microseconds StartWait{0}; ///< of a new call, by the rate limit

  friend bool operator==(const home_load &, const home_load &) = default;
};

} // namespace chivebeam
