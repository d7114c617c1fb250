#pragma once

#include "moves/move_evaluator.h"
#include "moves/move_observation.h"
#include "moves/move_plan.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// Implements the guards and actions of the state chart "move" for one
/// decision. Not thread safe.
class move_decision {
public:
  /// \pre Plan and Observation outlive the decision.
  move_decision(const move_plan &Plan, const move_progress &Before,
                const move_observation &Observation,
                evaluation_result Evaluation, instant Now)
      : Plan(Plan), Observation(Observation), Evaluation(std::move(Evaluation)),
        Now(Now), Next(Before) {}

  /// Returns whether the guard is true. \pre the chart declares the guard.
  bool evaluateGuard(std::string_view Guard) const;
  /// Applies the action to the progress. \pre the chart declares the action.
  void runAction(std::string_view Action);

  const move_progress &result() const { return Next; }

private:
  bool hasTooLittleTime() const;
  bool canStart() const;
  bool canRaise() const;
  bool hasStepElapsed() const;
  bool hasSoaked() const;
  bool isSuspect() const;
  bool canStepBack() const;
  bool areWorkersMissing() const;
  bool hasCapacityFor(unsigned Share) const;
  bool hasFreshReports() const;

  void raiseStep();
  void stepBack();
  void startStep(unsigned Share);
  void finish(move_phase Phase, std::string Reason);
  std::string expiredReason() const;
  std::string tooLittleTimeReason() const;
  std::string missingWorkersReason() const;
  std::string suspectReason() const;

  const move_plan &Plan;
  const move_observation &Observation;
  evaluation_result Evaluation;
  instant Now;
  move_progress Next;
};

} // namespace chivebeam
