#pragma once

#include <map>
#include <vector>

#include "base/names.h"
#include "moves/latency_histogram.h"

namespace chivebeam {

/// Outcomes of calls of one version on one route, counted since the node that
/// counts them started. A plain value.
struct route_evidence {
  std::uint64_t Calls = 0;
  std::uint64_t Failures = 0; ///< 5xx answers, resets and missed deadlines
  latency_histogram Latency;

  void record(bool Failed, microseconds Duration);
  void add(const route_evidence &Other);
  void subtract(const route_evidence &Earlier);
  friend bool operator==(const route_evidence &,
                         const route_evidence &) = default;
};

using evidence_by_route = std::map<route_name, route_evidence>;

/// What one home node has counted for its backend server. Cumulative, so that
/// lost, repeated and crossed reports do no harm: the newest replaces all.
struct evidence_report {
  node_id Node;
  incarnation Life; ///< incarnation at which the counting process started
  service_name Service;
  version_name Version;
  std::uint64_t Sequence = 0;
  evidence_by_route Routes;
};

/// Evidence on both versions of a move over the same stretch of time.
struct evidence_window {
  evidence_by_route Old;
  evidence_by_route New;
};

/// What a move is judged by. Each window covers both versions over the same
/// time, with a constant share.
struct move_evidence {
  std::vector<evidence_window> Earlier; ///< one for each step that has passed
  evidence_window SinceStep;            ///< since the current step began
  evidence_window Recent;               ///< the newest part of it
  /// The old version in the worst stretch of the move so far; what the new
  /// version is held against while the old one has no calls.
  evidence_by_route WorstOldInterval;
  /// At full share the old version has no calls of this time to compare with.
  bool Uncompared = false;
  /// The new version looked worse than that once in this move.
  bool Suspected = false;
};

/// Adds the evidence of each route to Sum.
void addRoutes(evidence_by_route &Sum, const evidence_by_route &Routes);
/// Sums over windows.
evidence_window totalOf(const move_evidence &Evidence);
/// Sums over routes.
route_evidence totalOf(const evidence_by_route &Routes);

} // namespace chivebeam
