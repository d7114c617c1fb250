#include "moves/evidence.h"

#include <algorithm>

namespace chivebeam {

void route_evidence::record(bool Failed, microseconds Duration) {
  ++Calls;
  Failures += Failed ? 1 : 0;
  Latency.record(Duration);
}

void route_evidence::add(const route_evidence &Other) {
  Calls += Other.Calls;
  Failures += Other.Failures;
  Latency.add(Other.Latency);
}

void route_evidence::subtract(const route_evidence &Earlier) {
  Calls -= std::min(Calls, Earlier.Calls);
  Failures -= std::min(Failures, Earlier.Failures);
  Latency.subtract(Earlier.Latency);
}

route_evidence totalOf(const evidence_by_route &Routes) {
  route_evidence Total;
  for (const auto &[Route, Evidence] : Routes)
    Total.add(Evidence);
  return Total;
}

void addRoutes(evidence_by_route &Sum, const evidence_by_route &Routes) {
  for (const auto &[Route, Evidence] : Routes)
    Sum[Route].add(Evidence);
}

evidence_window totalOf(const move_evidence &Evidence) {
  evidence_window Total = Evidence.SinceStep;
  for (const evidence_window &Window : Evidence.Earlier) {
    addRoutes(Total.Old, Window.Old);
    addRoutes(Total.New, Window.New);
  }
  return Total;
}

} // namespace chivebeam
