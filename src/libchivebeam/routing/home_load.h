#pragma once

#include "routing/refusal_ratios.h"

namespace chivebeam {

/// While fewer calls than this wait for each slot, a home node takes one that
/// will miss its goal but not its deadline.
inline constexpr double MaxLateCallsPerSlot = 0.5;

/// How busy a home node's backend server is; written on every answer between
/// nodes. A plain value.
struct home_load {
  unsigned Running = 0;
  unsigned Waiting = 0;        ///< in the home node's queue
  unsigned Limit = 0;          ///< calls that it runs at a time; zero: none now
  microseconds ServiceTime{0}; ///< of a call, of late; zero: unknown
  unsigned FailedPermille = 0; ///< of late
  refusal_ratios Refused;      ///< of calls of outside callers, of late
  refusal_ratios Downstream;   ///< the same, at services that this one calls
  /// Used part of the repeat budgets of services that this one calls.
  unsigned DownstreamRetryBudgetPermille = 0;

  friend bool operator==(const home_load &, const home_load &) = default;
};

} // namespace chivebeam
