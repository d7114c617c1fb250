#include "control/evidence_counter.h"

namespace chivebeam {

void evidence_counter::setVersion(const service_name &NewService,
                                  const version_name &NewVersion) {
  if (NewService == Service && NewVersion == Version)
    return;
  Service = NewService;
  Version = NewVersion;
  Routes.clear();
  WarmUp = warm_up();
}

void evidence_counter::record(const route_name &Route, bool Failed,
                              microseconds Duration, instant Now) {
  route_evidence &Evidence = Routes[Route];
  ++Evidence.Calls;
  Evidence.Failures += Failed ? 1 : 0;
  WarmUp.callEnded(Now);
  if (!WarmUp.isActive(Now))
    Evidence.Latency.record(Duration);
}

evidence_report evidence_counter::makeReport() {
  return {Node, Incarnation, Service, Version, ++Sequence, Routes};
}

} // namespace chivebeam
