#pragma once

#include <map>
#include <optional>
#include <unordered_map>

#include "base/names.h"
#include "routing/hedge_budget.h"
#include "routing/home_load.h"
#include "routing/latency_quantile.h"

namespace chivebeam {

/// Limits for hedged requests, set by the operator. Value type.
struct hedge_limits {
  /// Second copies as a percentage of the calls that may be hedged, and of
  /// their run time; zero: no call is hedged.
  unsigned ExtraPercent = 0;
  /// Lower limits of routes, each for the calls of that route; zero: they are
  /// not hedged.
  std::map<route_name, unsigned> RoutePercent = {};

  friend bool operator==(const hedge_limits &, const hedge_limits &) = default;
};

/// A second copy of a call. Value type.
struct hedge_copy {
  route_name Route;
  microseconds Expected{0}; ///< usual run time of the call
};

/// Decides when a second copy of an unanswered idempotent call is sent to
/// another backend server. The delay is a high quantile of the latency of the
/// call's route, so that only slow calls are copied; budgets bound the copies
/// and their run time at any load; and a copy is sent only to a server that can
/// start it at once, so that copies never add to a shortage. Not thread safe.
class hedge_policy {
public:
  explicit hedge_policy(hedge_limits Limits);

  bool isEnabled() const { return Limits.ExtraPercent > 0; }
  /// True if calls of the route may be hedged, if they are idempotent.
  bool isEnabled(const route_name &Route) const;
  /// Counts a call that may be hedged; it fills the budgets.
  void callStarted(const route_name &Route);
  /// Records the time from the first attempt of a call to its answer, whichever
  /// server gave it.
  void recordLatency(const route_name &Route, microseconds Latency);
  /// Records the run time of an attempt that is no second copy, of a call that
  /// may be hedged.
  void recordWork(const route_name &Route, microseconds RunTime, instant Now);
  /// Returns the time after which a call of the route may be hedged; empty if
  /// it never is.
  std::optional<microseconds> delayOf(const route_name &Route) const;
  /// True if a second copy may be sent now to a server with this load, null if
  /// the load is unknown. Uses the budgets then, until copyEnded.
  bool takeHedge(const hedge_copy &Copy, const home_load *Target, instant Now);
  /// Records how long a copy took, zero if it was not run. Call once for each
  /// copy that takeHedge allowed.
  void copyEnded(const hedge_copy &Copy, microseconds Took, instant Now);

  /// Run time of the calls that may be hedged, without copies, since the start.
  microseconds baseWork() const { return BaseWork; }
  /// Time that second copies took since the start.
  microseconds extraWork() const { return ExtraWork; }

private:
  /// Returns the route's own budget; null if it has none.
  hedge_budget *budgetOf(const route_name &Route);

  hedge_limits Limits;
  hedge_budget Budget; ///< of all routes together
  std::map<route_name, hedge_budget> RouteBudgets;
  std::unordered_map<route_name, latency_quantile> Latencies;
  microseconds BaseWork{0};
  microseconds ExtraWork{0};
};

} // namespace chivebeam
