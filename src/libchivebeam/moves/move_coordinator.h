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

/// A verdict that is to be recorded in the store.
struct verdict_request {
  move_rule Rule;
  move_progress Progress;
  std::string Journal; ///< one line of JSON for each decision
};

/// What a node does for its moves at one moment.
struct coordinator_result {
  std::vector<move_progress> Changed;
  std::vector<verdict_request> Verdicts;
};

/// Runs the moves that this node owns. The owner of a move is the first node
/// of its service in an order that all nodes compute alike, so no election is
/// needed; two owners at once do no harm, since progress joins. The second
/// node in that order gets the same evidence; it takes a bad version back, but
/// never raises a share. Not thread safe.
class move_coordinator {
public:
  /// \pre Decider outlives the conductor.
  move_coordinator(node_id SelfNode, const move_decider &Decider);

  void addEvidence(const evidence_report &Report, instant Now);

  /// Decides each owned move once.
  coordinator_result tick(const snapshot &Config, const member_table &Members,
                          const std::map<move_id, move_progress> &Progress,
                          instant Now);

  /// Returns the nodes that reports of the service go to, the owner first.
  static std::vector<const member_record *>
  reportReceivers(const move_rule &Rule, const member_table &Members);

private:
  struct tracked_move {
    evidence_tracker Tracker;
    move_progress LastJournaled; ///< last progress that the journal shows
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
