#include "moves/move_turn.h"

#include <cmath>
#include <cstdio>

#include "moves/move_pace.h"

namespace chivebeam {

namespace {

/// The share at which versions are compared again after a suspicion.
constexpr unsigned CompareShare = 2'500;
/// How often a suspicion leads to another comparison.
constexpr unsigned MaxStepsBack = 2;
/// A step that saw too few calls lasts so many times its duration, then the
/// share rises all the same, since nothing speaks against it.
constexpr int MaxStretch = 2;
/// A version is not called done on fewer calls.
constexpr std::uint64_t MinVerdictCalls = 20;
/// Evidence (e^20) that ends a move whose verdict is already decided; there is
/// no step left in which to compare again.
constexpr double CollapseLog = 20;

std::uint64_t newCalls(const move_observation &Seen) {
  return totalOf(totalOf(Seen.Evidence).New).Calls;
}

} // namespace

bool move_turn::holds(std::string_view Guard) const {
  if (Guard == "bad_evidence")
    return Judged.Judgement == judgement::bad;
  if (Guard == "expired")
    return Now >= Plan.Rule.Deadline;
  if (Guard == "too_near")
    return isTooNear();
  if (Guard == "start_reached")
    return canStart();
  if (Guard == "vanished")
    return hasVanished();
  if (Guard == "suspect_again")
    return isSuspect() && !canStepBack();
  if (Guard == "collapsed")
    return isSuspect() && Judged.LogEvidence >= CollapseLog;
  if (Guard == "suspect")
    return isSuspect();
  if (Guard == "step_due")
    return canRaise();
  if (Guard == "soak_passed")
    return hasSoaked();
  return false;
}

void move_turn::act(std::string_view Action) {
  if (Action == "raise_step")
    raiseStep();
  else if (Action == "step_back")
    stepBack();
  else if (Action == "take_back_bad")
    finish(move_phase::taken_back, Judged.Reason);
  else if (Action == "take_back_suspect")
    finish(move_phase::taken_back, suspectReason());
  else if (Action == "take_back_late")
    finish(move_phase::taken_back, lateReason());
  else if (Action == "take_back_near")
    finish(move_phase::taken_back, nearReason());
  else if (Action == "take_back_vanished")
    finish(move_phase::taken_back, vanishedReason());
  else if (Action == "decide_done")
    finish(move_phase::deciding, Judged.Reason);
}

bool move_turn::isTooNear() const {
  return Now >= Plan.Rule.Start && Plan.isTooNear(Now) &&
         hasEnoughWorkers(Seen);
}

bool move_turn::canStart() const {
  return Now >= Plan.Rule.Start && Seen.TrafficKnown &&
         hasEnoughWorkers(Seen) && hasFreshReports();
}

bool move_turn::hasLasted() const {
  microseconds Duration = Plan.durationOf(Next.Share, Next.StepSince);
  if (Judged.Judgement == judgement::good)
    return Now >= Next.StepSince + Duration;
  return Judged.Judgement == judgement::undecided &&
         Now >= Next.StepSince + Duration * MaxStretch;
}

bool move_turn::canRaise() const {
  return Next.Share < FullShare && hasLasted() && hasEnoughWorkers(Seen) &&
         hasFreshReports() && hasRoomFor(Plan.nextShare(Next.Share));
}

bool move_turn::hasSoaked() const {
  if (Next.Share < FullShare || newCalls(Seen) < MinVerdictCalls)
    return false;
  microseconds Duration = Plan.durationOf(Next.Share, Next.StepSince);
  bool Undecided = Judged.Judgement == judgement::undecided;
  bool Accepted = Judged.Judgement == judgement::good || Undecided;
  instant Due = Next.StepSince + Duration;
  // A soak that leans against the new version uses up half of the reserve.
  if (Undecided)
    Due = std::max(Due, Plan.End + (Plan.Rule.Deadline - Plan.End) / 2);
  return Accepted && hasFreshReports() && Now >= Due;
}

bool move_turn::isSuspect() const {
  return Judged.Judgement == judgement::suspect &&
         Now >= Next.StepSince + paceOf(Plan.Rule).SettleTime;
}

bool move_turn::canStepBack() const {
  return Next.StepsBack < MaxStepsBack &&
         Now + paceOf(Plan.Rule).MinCompareTime < Plan.Rule.Deadline;
}

bool move_turn::hasVanished() const {
  return Seen.ShortSince != instant() &&
         Now >= Seen.ShortSince + paceOf(Plan.Rule).VanishedLimit;
}

bool move_turn::hasFreshReports() const {
  return Seen.NewReporters * 2 >= Seen.NewWorkers;
}

/// Calls in service at a time (calls a second times duration), and room for
/// the usual swing around it, must fit the slots of the new version.
bool move_turn::hasRoomFor(unsigned Share) const {
  double Part = static_cast<double>(Share) / FullShare;
  double PerSecond = static_cast<double>(Seen.CallsPerMinute) / 60;
  double Running = Part * PerSecond *
                   std::chrono::duration<double>(Seen.MeanDuration).count();
  double Needed = Running + 2 * std::sqrt(Running);
  return Needed <=
         paceOf(Plan.Rule).MaxSlotUse * static_cast<double>(Seen.NewSlots);
}

void move_turn::beginShare(unsigned Share) {
  ++Next.Step;
  Next.Share = Share;
  Next.StepSince = Now;
  Next.To = Plan.Rule.To;
}

void move_turn::raiseStep() {
  beginShare(Next.Step == 0 ? Plan.firstShare(Seen.CallsPerMinute)
                            : Plan.nextShare(Next.Share));
  Next.Reason = Judged.Reason;
}

void move_turn::stepBack() {
  ++Next.StepsBack;
  beginShare(std::min(CompareShare, Next.Share));
  Next.Reason = "compared again, since " + Judged.Reason;
}

void move_turn::finish(move_phase Phase, std::string Reason) {
  Next.Phase = Phase;
  Next.DecidedAt = Now;
  Next.To = Plan.Rule.To;
  Next.Reason = std::move(Reason);
}

std::string move_turn::lateReason() const {
  char Text[200];
  if (!hasEnoughWorkers(Seen)) {
    std::snprintf(Text, sizeof Text,
                  "the set time came with %u of %u workers of the new version "
                  "ready",
                  Seen.NewWorkers, Seen.WantedWorkers);
    return Text;
  }
  if (Next.Share < FullShare &&
      !hasRoomFor(Plan.nextShare(std::max(Next.Share, 1U)))) {
    std::snprintf(Text, sizeof Text,
                  "the set time came while %u slots of the new version were "
                  "too few for more than %.1f%% of %llu calls a minute",
                  Seen.NewSlots, Next.Share * 100.0 / FullShare,
                  static_cast<unsigned long long>(Seen.CallsPerMinute));
    return Text;
  }
  if (Next.Share == FullShare && newCalls(Seen) < MinVerdictCalls) {
    std::snprintf(Text, sizeof Text,
                  "the set time came with only %llu calls on the new version, "
                  "too few to call it done",
                  static_cast<unsigned long long>(newCalls(Seen)));
    return Text;
  }
  return "the set time came before the evidence was enough: " + Judged.Reason;
}

std::string move_turn::nearReason() const {
  return "too little time was left before the set time to compare the "
         "versions; set a later one";
}

std::string move_turn::vanishedReason() const {
  char Text[120];
  std::snprintf(Text, sizeof Text,
                "only %u of %u workers of the new version were left",
                Seen.NewWorkers, Seen.WantedWorkers);
  return Text;
}

std::string move_turn::suspectReason() const {
  return "the new version is worse at full share than the old one was: " +
         Judged.Reason;
}

} // namespace chivebeam
