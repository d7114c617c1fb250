#include "moves/move_plan.h"

#include <algorithm>
#include <cmath>

#include "moves/move_pace.h"
#include "moves/move_progress.h"

namespace chivebeam {

namespace {

/// A step at least doubles the share.
constexpr unsigned MinGrowth = 2;

/// Calls of the new version that the first step should see: in all, and in a
/// second, so that a bad version shows itself soon.
constexpr double FirstStepCalls = 60;
constexpr double FirstStepRate = 20;
/// Time between a bad call and share zero everywhere.
constexpr double TakeBackSeconds = 1.0;

double inSeconds(microseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

const ladder_rung &rungAbove(const move_pace &Pace, unsigned Share) {
  for (const ladder_rung &Rung : Pace.Ladder)
    if (Rung.Share >= Share * MinGrowth)
      return Rung;
  return Pace.Ladder.back();
}

/// Weight of the step that has this share.
int weightOf(const move_pace &Pace, unsigned Share) {
  for (const ladder_rung &Rung : Pace.Ladder)
    if (Rung.Share == Share)
      return Rung.Weight;
  return Pace.FirstWeight;
}

/// Sum of the weights of the steps from Share up.
int weightFrom(const move_pace &Pace, unsigned Share) {
  int Weight = weightOf(Pace, Share);
  while (Share < FullShare) {
    const ladder_rung &Next = rungAbove(Pace, Share);
    Weight += Next.Weight;
    Share = Next.Share;
  }
  return Weight;
}

} // namespace

unsigned move_plan::nextShare(unsigned Share) const {
  return rungAbove(paceOf(Rule), Share).Share;
}

microseconds move_plan::durationOf(unsigned Share, instant Since) const {
  const move_pace &Pace = paceOf(Rule);
  microseconds Left = std::max(End - Since, microseconds(0));
  return std::min(Pace.MaxStepDuration,
                  Left * weightOf(Pace, Share) / weightFrom(Pace, Share));
}

unsigned move_plan::firstShare(std::uint64_t CallsPerMinute) const {
  const move_pace &Pace = paceOf(Rule);
  double Rate = std::max(static_cast<double>(CallsPerMinute) / 60, 1e-3);
  double Whole = inSeconds(Rule.Deadline - Rule.Start);
  double StepSeconds =
      std::max(inSeconds(durationOf(Pace.MinFirstShare, Rule.Start)), 1e-3);
  double Wanted =
      std::max(FirstStepCalls / StepSeconds, FirstStepRate) / Rate * FullShare;
  double Allowed = Pace.ExposurePart * Whole / TakeBackSeconds * FullShare;
  double Highest =
      std::clamp<double>(Allowed, Pace.MinFirstShare, Pace.MaxFirstShare);
  return static_cast<unsigned>(
      std::llround(std::clamp<double>(Wanted, Pace.MinFirstShare, Highest)));
}

bool move_plan::isTooNear(instant Now) const {
  return Now + paceOf(Rule).MinMoveTime > Rule.Deadline;
}

move_plan planMove(const move_rule &Rule) {
  const move_pace &Pace = paceOf(Rule);
  microseconds Reserve =
      (Rule.Deadline - Rule.Start) * Pace.ReservePercent / 100;
  return {Rule, Rule.Deadline - std::min(Reserve, Pace.MaxReserve)};
}

} // namespace chivebeam
