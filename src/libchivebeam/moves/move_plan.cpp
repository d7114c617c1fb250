#include "moves/move_plan.h"

#include <algorithm>
#include <cmath>

#include "moves/move_profile.h"
#include "moves/move_progress.h"

namespace chivebeam {

namespace {

/// Minimum factor between the shares of consecutive steps.
constexpr unsigned MinShareGrowth = 2;

/// Number and rate of the new version's calls that the first step aims for, so
/// that a bad version is detected soon.
constexpr double FirstStepCalls = 60;
constexpr double FirstStepCallsPerSecond = 20;
/// Time from a bad call until the share is zero on all nodes.
constexpr double TakeBackSeconds = 1.0;

double inSeconds(microseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

const share_step &stepAbove(const move_profile &Profile, unsigned Share) {
  for (const share_step &Step : Profile.Steps)
    if (Step.Share >= Share * MinShareGrowth)
      return Step;
  return Profile.Steps.back();
}

/// Returns the weight of the step with this share.
int weightOf(const move_profile &Profile, unsigned Share) {
  for (const share_step &Step : Profile.Steps)
    if (Step.Share == Share)
      return Step.Weight;
  return Profile.FirstStepWeight;
}

/// Returns the sum of the weights of the step with this share and of all later
/// ones.
int remainingWeight(const move_profile &Profile, unsigned Share) {
  int Weight = weightOf(Profile, Share);
  while (Share < FullShare) {
    const share_step &Next = stepAbove(Profile, Share);
    Weight += Next.Weight;
    Share = Next.Share;
  }
  return Weight;
}

} // namespace

unsigned move_plan::nextShare(unsigned Share) const {
  return stepAbove(profileOf(Rule), Share).Share;
}

microseconds move_plan::durationOf(unsigned Share, instant Since) const {
  const move_profile &Profile = profileOf(Rule);
  microseconds Left = std::max(End - Since, microseconds(0));
  return std::min(Profile.MaxStepDuration, Left * weightOf(Profile, Share) /
                                               remainingWeight(Profile, Share));
}

unsigned move_plan::firstShare(std::uint64_t CallsPerMinute) const {
  const move_profile &Profile = profileOf(Rule);
  double Rate = std::max(static_cast<double>(CallsPerMinute) / 60, 1e-3);
  double MoveSeconds = inSeconds(Rule.Deadline - Rule.Start);
  double StepSeconds =
      std::max(inSeconds(durationOf(Profile.MinFirstShare, Rule.Start)), 1e-3);
  double Wanted =
      std::max(FirstStepCalls / StepSeconds, FirstStepCallsPerSecond) / Rate *
      FullShare;
  double Allowed =
      Profile.ExposureBudget * MoveSeconds / TakeBackSeconds * FullShare;
  double Highest =
      std::clamp<double>(Allowed, Profile.MinFirstShare, Profile.MaxFirstShare);
  return static_cast<unsigned>(
      std::llround(std::clamp<double>(Wanted, Profile.MinFirstShare, Highest)));
}

bool move_plan::hasTooLittleTime(instant Now) const {
  return Now + profileOf(Rule).MinMoveTime > Rule.Deadline;
}

move_plan planMove(const move_rule &Rule) {
  const move_profile &Profile = profileOf(Rule);
  microseconds Reserve =
      (Rule.Deadline - Rule.Start) * Profile.VerdictReservePercent / 100;
  return {Rule, Rule.Deadline - std::min(Reserve, Profile.MaxVerdictReserve)};
}

} // namespace chivebeam
