#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/snapshot.h"
#include "membership/member_table.h"
#include "moves/evidence_tracker.h"
#include "moves/move_decider.h"
#include "sessions/journal_text.h"

namespace chivebeam {

/// A verdict to be recorded in the store.
struct verdict_request {
  move_rule Rule;
  move_progress Progress;
  std::string Journal; ///< one JSON line per decision
};

/// Results of one tick: changed progress and verdicts to record.
struct coordinator_result {
  std::vector<move_progress> Changed;
  std::vector<verdict_request> Verdicts;
};

/// Decides the moves that this node owns. All nodes compute the same ranking of
/// a service's nodes for each move, and the first node owns the move, so no
/// election is needed. Two owners at the same time do no harm, since their
/// progress is joined. The second node in the ranking receives the same
/// evidence; it takes back a bad version but never raises a share. Not thread
/// safe.
class move_coordinator {
public:
  /// \pre Decider outlives the coordinator.
  move_coordinator(node_id SelfNode, const move_decider &Decider);

  void addEvidence(const evidence_report &Report, instant Now);

  /// Makes one decision for each move that this node owns or backs up as the
  /// second node of the ranking.
  coordinator_result tick(const snapshot &Config, const member_table &Members,
                          const std::map<move_id, move_progress> &Progress,
                          instant Now);

  /// Returns the nodes that receive the evidence reports of the service, the
  /// owner first.
  static std::vector<const member_record *>
  reportReceivers(const move_rule &Rule, const member_table &Members);

private:
  struct tracked_move {
    evidence_tracker Tracker;
    move_progress LastJournaled; ///< last progress in the journal
    journal_text Journal;
  };

  void removeStaleMoves(const snapshot &Config);
  void decideMove(const move_rule &Rule, const worker_counts &Workers,
                  const move_progress &Before, bool IsOwner, instant Now,
                  coordinator_result &Result);

  node_id Self;
  const move_decider &Decider;
  std::map<service_name, move_id> MoveByService;
  std::map<move_id, tracked_move> Tracked;
};

} // namespace chivebeam
