#pragma once

#include <optional>
#include <unordered_map>

#include "base/names.h"
#include "routing/home_load.h"
#include "routing/latency_quantile.h"

namespace chivebeam {

/// Limit for hedged requests, set by the operator. Value type.
struct hedge_limits {
  /// Second copies as a percentage of the calls that may be hedged; zero: no
  /// call is hedged.
  unsigned ExtraPercent = 0;

  friend bool operator==(const hedge_limits &, const hedge_limits &) = default;
};

/// Decides when a second copy of an unanswered idempotent call is sent to
/// another backend server. The delay is a high quantile of the latency of the
/// call's route, so that only slow calls are copied; a budget bounds the copies
/// at any load; and a copy is sent only to a server that can start it at once,
/// so that copies never add to a shortage. Not thread safe.
class hedge_policy {
public:
  explicit hedge_policy(hedge_limits Limits) : Limits(Limits) {}

  bool isEnabled() const { return Limits.ExtraPercent > 0; }
  /// Counts a call that may be hedged; it fills the budget.
  void callStarted();
  /// Records the time from the first attempt of a call to its answer, whichever
  /// server gave it.
  void recordLatency(const route_name &Route, microseconds Latency);
  /// Returns the time after which a call of the route may be hedged; empty if
  /// it never is.
  std::optional<microseconds> delayOf(const route_name &Route) const;
  /// True if a second copy may be sent now to a server with this load, null if
  /// the load is unknown. Uses the budget then.
  bool takeHedge(const home_load *Target);

private:
  hedge_limits Limits;
  double Budget = 0; ///< copies that may be sent now
  std::unordered_map<route_name, latency_quantile> Latencies;
};

} // namespace chivebeam
