#pragma once

#include <map>
#include <vector>

#include "base/names.h"
#include "moves/latency_histogram.h"

namespace chivebeam {

/// Outcomes of the calls of one version on one route, counted since the start
/// of the counting node. A plain value.
struct route_evidence {
  std::uint64_t Calls = 0;
  std::uint64_t Failures = 0; ///< 5xx responses, resets and timeouts
  latency_histogram Latency;

  void record(bool Failed, microseconds Duration);
  void add(const route_evidence &Other);
  void subtract(const route_evidence &Earlier);
  friend bool operator==(const route_evidence &,
                         const route_evidence &) = default;
};

using evidence_by_route = std::map<route_name, route_evidence>;

/// Counts of one home node for its backend server. The counts are cumulative,
/// so the newest report replaces all earlier ones and lost, duplicated or
/// reordered reports do no harm.
struct evidence_report {
  node_id Node;
  incarnation Life; ///< incarnation of the node when its process started
  service_name Service;
  version_name Version;
  std::uint64_t Sequence = 0;
  evidence_by_route Routes;
};

/// Evidence on both versions of a move over the same interval.
struct evidence_window {
  evidence_by_route Old;
  evidence_by_route New;
};

/// Evidence from which a move is evaluated. Each window covers both versions
/// over the same interval, at a constant share.
struct move_evidence {
  std::vector<evidence_window> Earlier; ///< one for each completed step
  evidence_window SinceStep;            ///< since the current step began
  evidence_window Recent;               ///< recent part of the current step
  /// The old version's interval with the highest failure rate in this move. The
  /// new version is compared with it while the old version receives no calls.
  evidence_by_route WorstOldInterval;
  /// True at full share, where the old version has no calls of the same time to
  /// compare with.
  bool Uncompared = false;
  /// True if the new version was suspect at least once in this move, that is,
  /// worse than WorstOldInterval.
  bool Suspected = false;
};

/// Adds the evidence of each route in Routes to Sum.
void addRoutes(evidence_by_route &Sum, const evidence_by_route &Routes);
/// Returns the sum over the windows of all steps.
evidence_window totalOf(const move_evidence &Evidence);
/// Returns the sum over all routes.
route_evidence totalOf(const evidence_by_route &Routes);

} // namespace chivebeam
