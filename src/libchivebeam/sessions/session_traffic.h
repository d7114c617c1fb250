#pragma once

#include "membership/member_record.h"
#include "moves/evidence.h"

namespace chivebeam {

/// How the calls of one version come out while a session's traffic runs.
struct session_behaviour {
  unsigned FailPercent = 0;
  microseconds Duration{0};
};

/// Counts the calls that a session's traffic gives one home node, with exact
/// shares of failures, and makes the reports that such a node would send.
class session_call_counter {
public:
  /// Adds a number of calls that may be a fraction; the rest is carried over.
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
