#include "sessions/session_traffic.h"

namespace chivebeam {

namespace {

constexpr double Percent = 100.0;

} // namespace

void session_call_counter::add(const route_name &Route, double Calls,
                               const session_behaviour &Behaviour) {
  PendingCalls += Calls;
  while (PendingCalls >= 1) {
    PendingCalls -= 1;
    PendingFailures += Behaviour.FailPercent / Percent;
    bool Failed = PendingFailures >= 1;
    if (Failed)
      PendingFailures -= 1;
    Routes[Route].record(Failed, Behaviour.Duration);
  }
}

evidence_report session_call_counter::report(const member_record &Member) {
  evidence_report Report;
  Report.Node = Member.Node;
  Report.Life = Member.Incarnation;
  Report.Service = Member.Worker.Service;
  Report.Version = Member.Worker.Version;
  Report.Sequence = ++Sequence;
  Report.Routes = Routes;
  return Report;
}

} // namespace chivebeam
