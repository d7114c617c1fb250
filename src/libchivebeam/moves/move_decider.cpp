#include "moves/move_decider.h"

#include <cmath>

#include "charts/embedded_charts.h"
#include "moves/move_decision.h"

namespace chivebeam {

namespace {

std::string_view chartState(const move_progress &Progress) {
  if (Progress.Recorded == move_verdict::done)
    return "done";
  if (Progress.Recorded == move_verdict::taken_back)
    return "taken_back";
  if (Progress.Phase == move_phase::taken_back)
    return "taking_back";
  if (Progress.Phase == move_phase::deciding)
    return "deciding";
  return Progress.Step == 0 ? "planned" : "stepping";
}

} // namespace

bool matchesTarget(const move_progress &Progress, const move_rule &Rule) {
  return Progress.To.empty() || Progress.To == Rule.To;
}

std::optional<move_progress>
move_decider::decide(const move_plan &Plan, const move_progress &Progress,
                     const move_observation &Observation, instant Now) const {
  if (!matchesTarget(Progress, Plan.Rule))
    return std::nullopt;
  move_decision Decision(Plan, Progress, Observation,
                         Evaluator.evaluate(Observation.Evidence), Now);
  chart_step Step = shippedChart("move").step(
      chartState(Progress), "tick",
      [&](std::string_view Guard) { return Decision.evaluateGuard(Guard); });
  if (!Step.Taken)
    return std::nullopt;
  for (const std::string &Action : Step.Actions)
    Decision.runAction(Action);
  return Decision.result();
}

unsigned shareOf(const move_plan &Plan, const move_progress &Progress) {
  if (!matchesTarget(Progress, Plan.Rule))
    return 0;
  if (Progress.Recorded == move_verdict::done)
    return FullShare;
  if (Progress.Recorded == move_verdict::taken_back ||
      Progress.Phase == move_phase::taken_back)
    return 0;
  return Progress.Share;
}

} // namespace chivebeam
