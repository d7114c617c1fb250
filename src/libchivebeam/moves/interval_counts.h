#pragma once

#include <map>

#include "moves/event_comparison.h"
#include "moves/evidence.h"

namespace chivebeam {

/// Latency bucket of each route above which a call counts as slow.
using slow_bounds = std::map<route_name, std::size_t>;

/// Returns the bounds computed from the old version's latencies. Routes with
/// too few calls of the old version have no bound. Margin: see SlowBucketMargin
/// in evaluator_settings.
slow_bounds slowBounds(const evidence_by_route &Old, std::size_t Margin);

/// Failures and slow calls on one route in one or more intervals.
struct route_intervals {
  std::vector<event_counts> Failures;
  std::vector<event_counts> SlowCalls;
};

/// Converts evidence windows into event counts, per route and summed over all
/// routes.
class interval_counts {
public:
  explicit interval_counts(slow_bounds RouteBounds)
      : Bounds(std::move(RouteBounds)) {}

  void add(const evidence_window &Window);
  /// Returns the sum of slow calls or of failures over all routes and windows.
  event_counts total(bool OfSlowCalls) const;
  /// Returns the natural logarithm of the evidence against the new version: the
  /// mean over failures and slow calls, and over the sum of all routes and the
  /// single routes. Sets StrongestRoute to the route with the strongest
  /// evidence (empty for the sum), and FromSlowCalls to true if its slow calls
  /// are stronger evidence than its failures.
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
