#pragma once

#include "moves/evidence.h"
#include "moves/warm_up.h"

namespace chivebeam {

/// Counts the outcomes of calls to the backend server beside this node and
/// creates evidence reports. Not thread safe.
class evidence_counter {
public:
  evidence_counter(node_id Self, incarnation ProcessIncarnation)
      : Node(std::move(Self)), Incarnation(ProcessIncarnation) {}

  /// Counts a call that ended at Now. Its duration is recorded only after the
  /// worker's warm-up.
  void record(const route_name &Route, bool Failed, microseconds Duration,
              instant Now);
  /// Resets all counts if the service or the version has changed.
  void setVersion(const service_name &NewService,
                  const version_name &NewVersion);
  /// Returns a report with the next sequence number.
  evidence_report makeReport();
  const evidence_by_route &routes() const { return Routes; }

private:
  node_id Node;
  incarnation Incarnation;
  service_name Service;
  version_name Version;
  std::uint64_t Sequence = 0;
  evidence_by_route Routes;
  warm_up WarmUp;
};

} // namespace chivebeam
