#pragma once

#include <optional>

#include "moves/move_evaluator.h"
#include "moves/move_observation.h"
#include "moves/move_plan.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// Decides the next step of a move by running the state chart "move" with its
/// guards and actions. A pure function: the same plan, progress, observation
/// and time always give the same result, and a replay checks this. Thread safe.
class move_decider {
public:
  /// \pre Evaluator outlives the decider.
  explicit move_decider(const move_evaluator &Evaluator)
      : Evaluator(Evaluator) {}

  /// Returns the new progress, or nothing if the move stays unchanged.
  std::optional<move_progress> decide(const move_plan &Plan,
                                      const move_progress &Progress,
                                      const move_observation &Observation,
                                      instant Now) const;

private:
  const move_evaluator &Evaluator;
};

/// True if Progress belongs to the version that Rule moves to, or to no version
/// yet. A move id belongs to one version: if the id is reused, the progress of
/// the earlier move does not apply to the new rule.
bool matchesTarget(const move_progress &Progress, const move_rule &Rule);

/// Returns the share of the new version that follows from Progress, in parts of
/// FullShare.
unsigned shareOf(const move_plan &Plan, const move_progress &Progress);

} // namespace chivebeam
