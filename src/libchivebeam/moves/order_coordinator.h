#pragma once

#include <map>

#include "membership/home_record.h"
#include "moves/evidence_tracker.h"
#include "moves/move_decider.h"
#include "moves/service_move.h"

namespace chivebeam {

/// Coordinates the moves that operators order in a mesh, where one node at a
/// time acts as coordinator. That node is chosen by the caller; the decisions
/// are those of move_decider. Not thread safe.
class order_coordinator {
public:
  /// \pre Decider outlives the coordinator.
  explicit order_coordinator(const move_decider &Decider) : Decider(Decider) {}

  /// Creates a move from the service's current version to another. Within is
  /// the time until the verdict is due.
  static service_move begin(std::uint64_t Order, const service_name &Service,
                            const version_name &To, microseconds Within,
                            const std::vector<home_record> &Homes, instant Now);

  void addEvidence(const evidence_report &Report, instant Now);
  /// Makes one decision for the move. Returns its new progress, or nothing if
  /// it did not change. Without MayAdvance the decision is only whether to take
  /// the move back: another node may coordinate it, and a move that was taken
  /// back stays so whoever decided it.
  std::optional<move_progress> decide(const service_move &Move,
                                      const std::vector<home_record> &Homes,
                                      instant Now, bool MayAdvance = true);
  /// True if the verdict of a decided move may be recorded, that is, if the
  /// calls already sent to the version that is removed have had time to
  /// complete.
  static bool canRecordVerdict(const service_move &Move, instant Now);
  /// Discards the evidence on moves of services that are not in Moves.
  void keepOnly(const std::map<service_name, service_move> &Moves);

private:
  struct tracked_move {
    move_id Id;
    version_name From;
    version_name To;
    evidence_tracker Tracker;
  };

  const move_decider &Decider;
  std::map<service_name, tracked_move> Tracked;
};

} // namespace chivebeam
