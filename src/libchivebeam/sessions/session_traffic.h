#pragma once

#include "membership/member_record.h"
#include "moves/evidence.h"

namespace chivebeam {

/// Failure rate and duration of the calls to one version during the traffic of
/// a session.
struct session_behaviour {
  unsigned FailPercent = 0;
  microseconds Duration{0};
};

/// Counts the calls that the traffic of a session sends to one home node, with
/// an exact share of failures, and builds the evidence reports of that node.
class session_call_counter {
public:
  /// Adds Calls, which may be a fraction; the remainder is carried over to the
  /// next call of add.
  void add(const route_name &Route, double Calls,
           const session_behaviour &Behaviour);
  evidence_report report(const member_record &Member);

private:
  double PendingCalls = 0;
  double PendingFailures = 0;
  std::uint64_t Sequence = 0;
  evidence_by_route Routes;
};

} // namespace chivebeam
