#pragma once

#include <map>

#include "membership/home_record.h"
#include "moves/evidence_tracker.h"
#include "moves/move_decider.h"
#include "moves/service_move.h"

namespace chivebeam {

/// Conducts the moves that operators order in a mesh, where one node at a time
/// does so. Uses the decisions of move_decider; the owner is chosen outside.
/// Not thread safe.
class order_coordinator {
public:
  /// \pre Decider outlives the conductor.
  explicit order_coordinator(const move_decider &Decider) : Decider(Decider) {}

  /// Starts a move of the service's present version to another. Within is the
  /// time until the verdict is due.
  static service_move begin(std::uint64_t Order, const service_name &Service,
                            const version_name &To, microseconds Within,
                            const std::vector<home_record> &Homes, instant Now);

  void addEvidence(const evidence_report &Report, instant Now);
  /// Decides a move once; returns its progress if that changed.
  std::optional<move_progress> decide(const service_move &Move,
                                      const std::vector<home_record> &Homes,
                                      instant Now);
  /// True if the verdict of a decided move may be recorded: every call that
  /// went to the version that ends has had time to end.
  static bool canRecordVerdict(const service_move &Move, instant Now);
  /// Forgets moves of services that are not in Moves.
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
