#pragma once

#include <map>

#include "moves/event_comparison.h"
#include "moves/evidence.h"

namespace chivebeam {

/// The latency bucket of each route above which a call counts as slow.
using slow_bounds = std::map<route_name, std::size_t>;

/// Returns the bounds that the old version's latencies give. Routes with too
/// few calls of the old version have none. Margin: see evaluator_settings.
slow_bounds slowBounds(const evidence_by_route &Old, std::size_t Margin);

/// Failures and slow calls on one route in one or more stretches of time.
struct route_intervals {
  std::vector<event_counts> Failures;
  std::vector<event_counts> SlowCalls;
};

/// Turns windows into counts of events, by route and summed over routes.
class interval_counts {
public:
  explicit interval_counts(slow_bounds RouteBounds)
      : Bounds(std::move(RouteBounds)) {}

  void add(const evidence_window &Window);
  /// Returns the sum of failures, or of slow calls, over routes and windows.
  event_counts total(bool OfSlowCalls) const;
  /// Returns the logarithm of the evidence against the new version: the mean
  /// over failures and slow calls, over the sum and the routes. Names the
  /// route, empty for the sum, and the kind that weigh most.
  double logEvidence(route_name &StrongestRoute, bool &FromSlowCalls) const;

private:
  struct combined_evidence {
    double Log = 0;
    bool FromSlowCalls = false;
  };

  static combined_evidence combine(const route_intervals &Intervals);

  slow_bounds Bounds;
  route_intervals Sum;
  std::map<route_name, route_intervals> Routes;
};

} // namespace chivebeam
