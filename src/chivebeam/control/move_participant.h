#pragma once

#include <functional>

#include "control/evidence_counter.h"
#include "data/data_messages.h"
#include "membership/membership.h"
#include "moves/local_circuit_breaker.h"
#include "moves/move_coordinator.h"
#include "store/store_messages.h"

namespace chivebeam {

/// Runs this node's part in the moves. It counts the outcomes of calls, reports
/// them to the owners of a move, coordinates the moves that this node owns, and
/// takes a move back when the calls that this node forwarded give strong
/// evidence against the new version. Runs on the control thread; not thread
/// safe.
class move_participant {
public:
  struct outputs {
    std::function<void(const address &To, const evidence_report &)> Send;
    std::function<void(record_verdict)> Record;
  };

  /// \pre Decider and Members outlive this object.
  move_participant(node_id Self, incarnation Incarnation,
                   const move_decider &Decider, membership &Members,
                   outputs Outputs);

  /// Sets the backend server beside this node.
  void setWorker(const worker_record &Worker);
  /// Adds the evidence report of another node.
  void addEvidence(const evidence_report &Report, instant Now);
  /// Counts a completed call. Returns true if the call led to a take-back.
  bool record(const call_outcome &Outcome, instant Now);
  /// Makes the decisions and sends the report that are due. Returns true if the
  /// progress of a move has changed.
  bool tick(const snapshot &Config, instant Now);

private:
  bool runCoordinator(const snapshot &Config, instant Now);
  void sendReport(const snapshot &Config, instant Now);
  void updateMoveRules(const snapshot &Config);
  bool takeBack(const service_name &Service, std::string Reason, instant Now);

  node_id Self;
  membership &Members;
  outputs Outputs;
  evidence_counter Evidence;
  move_coordinator Coordinator;
  local_circuit_breaker CircuitBreaker;
  worker_record Worker;
  std::map<service_name, move_rule> Rules;
  instant LastReport;
  bool FailedSinceReport = false;
};

} // namespace chivebeam
