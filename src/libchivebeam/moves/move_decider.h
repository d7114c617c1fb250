#pragma once

#include <optional>

#include "moves/move_evaluator.h"
#include "moves/move_observation.h"
#include "moves/move_plan.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// Decides the next step of a move: the chart "move" with its guards and
/// actions. Pure: the same progress, observation and time always give the same
/// answer, which is what replay checks. Thread safe.
class move_decider {
public:
  /// \pre Judge outlives the decider.
  explicit move_decider(const move_evaluator &Evaluator)
      : Evaluator(Evaluator) {}

  /// Returns the new progress, or nothing if the move stays as it is.
  std::optional<move_progress> decide(const move_plan &Plan,
                                      const move_progress &Progress,
                                      const move_observation &Observation,
                                      instant Now) const;

private:
  const move_evaluator &Evaluator;
};

/// True if Progress is about the version that Rule moves to, or about none
/// yet. An id belongs to one version: progress under a reused id is not taken
/// over by the new rule.
bool matchesTarget(const move_progress &Progress, const move_rule &Rule);

/// Returns the share of the new version that Progress calls for.
unsigned shareOf(const move_plan &Plan, const move_progress &Progress);

} // namespace chivebeam
