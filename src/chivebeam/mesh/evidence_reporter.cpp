#include "mesh/evidence_reporter.h"

namespace chivebeam {

namespace {

/// Evidence on a move is sent when it changes, and at least at this interval,
/// since the coordinator does not count older reports as fresh.
constexpr milliseconds IdleReportInterval{400};

} // namespace

void evidence_reporter::tick(instant Now) {
  // Reports are sent without calls, too, since they show that the node of this
  // version is alive.
  if (Home.evidence() == ReportedEvidence &&
      Now < ReportedAt + IdleReportInterval)
    return;
  ReportedEvidence = Home.evidence();
  ReportedAt = Now;
  const worker_record Own = State.ownRecord().Worker;
  MoveExecutor.sendEvidence(Own.Service, Own.Version, ReportedEvidence);
}

} // namespace chivebeam
