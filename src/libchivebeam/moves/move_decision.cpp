#include "moves/move_decision.h"

#include <cmath>
#include <cstdio>

#include "moves/move_profile.h"

namespace chivebeam {

namespace {

/// Share at which the versions are compared again after the new version became
/// suspect.
constexpr unsigned ComparisonShare = 2'500;
/// Maximum number of times that the share is lowered for another comparison.
constexpr unsigned MaxStepsBack = 2;
/// A step that is still undecided, for example because it received too few
/// calls, is extended to this multiple of its planned duration. Then the share
/// rises anyway, since there is no strong evidence against the new version.
constexpr int MaxDurationFactor = 2;
/// Minimum number of calls of the new version for the verdict done.
constexpr std::uint64_t MinVerdictCalls = 20;
/// Natural logarithm of the evidence (e^20) that reverses a move that was
/// already decided as done, when no step is left for another comparison.
constexpr double CollapseLogEvidence = 20;

std::uint64_t newCalls(const move_observation &Observation) {
  return totalOf(totalOf(Observation.Evidence).New).Calls;
}

} // namespace

bool move_decision::evaluateGuard(std::string_view Guard) const {
  if (Guard == "bad_evidence")
    return Evaluation.Outcome == evaluation_outcome::bad;
  if (Guard == "expired")
    return Now >= Plan.Rule.Deadline;
  if (Guard == "too_near")
    return hasTooLittleTime();
  if (Guard == "start_reached")
    return canStart();
  if (Guard == "vanished")
    return areWorkersMissing();
  if (Guard == "suspect_again")
    return isSuspect() && !canStepBack();
  if (Guard == "collapsed")
    return isSuspect() && Evaluation.LogEvidence >= CollapseLogEvidence;
  if (Guard == "suspect")
    return isSuspect();
  if (Guard == "step_due")
    return canRaise();
  if (Guard == "soak_passed")
    return hasSoaked();
  return false;
}

void move_decision::runAction(std::string_view Action) {
  if (Action == "raise_step")
    raiseStep();
  else if (Action == "step_back")
    stepBack();
  else if (Action == "take_back_bad")
    finish(move_phase::taken_back, Evaluation.Reason);
  else if (Action == "take_back_suspect")
    finish(move_phase::taken_back, suspectReason());
  else if (Action == "take_back_late")
    finish(move_phase::taken_back, expiredReason());
  else if (Action == "take_back_near")
    finish(move_phase::taken_back, tooLittleTimeReason());
  else if (Action == "take_back_vanished")
    finish(move_phase::taken_back, missingWorkersReason());
  else if (Action == "decide_done")
    finish(move_phase::deciding, Evaluation.Reason);
}

bool move_decision::hasTooLittleTime() const {
  return Now >= Plan.Rule.Start && Plan.hasTooLittleTime(Now) &&
         hasEnoughWorkers(Observation);
}

bool move_decision::canStart() const {
  return Now >= Plan.Rule.Start && Observation.TrafficKnown &&
         hasEnoughWorkers(Observation) && hasFreshReports();
}

bool move_decision::hasStepElapsed() const {
  microseconds Duration = Plan.durationOf(Next.Share, Next.StepSince);
  if (Evaluation.Outcome == evaluation_outcome::good)
    return Now >= Next.StepSince + Duration;
  return Evaluation.Outcome == evaluation_outcome::undecided &&
         Now >= Next.StepSince + Duration * MaxDurationFactor;
}

bool move_decision::canRaise() const {
  return Next.Share < FullShare && hasStepElapsed() &&
         hasEnoughWorkers(Observation) && hasFreshReports() &&
         hasCapacityFor(Plan.nextShare(Next.Share));
}

bool move_decision::hasSoaked() const {
  if (Next.Share < FullShare || newCalls(Observation) < MinVerdictCalls)
    return false;
  microseconds Duration = Plan.durationOf(Next.Share, Next.StepSince);
  bool Undecided = Evaluation.Outcome == evaluation_outcome::undecided;
  bool Accepted = Evaluation.Outcome == evaluation_outcome::good || Undecided;
  instant Due = Next.StepSince + Duration;
  // Without a good outcome, the soak lasts until half of the verdict reserve is
  // used up.
  if (Undecided)
    Due = std::max(Due, Plan.End + (Plan.Rule.Deadline - Plan.End) / 2);
  return Accepted && hasFreshReports() && Now >= Due;
}

bool move_decision::isSuspect() const {
  return Evaluation.Outcome == evaluation_outcome::suspect &&
         Now >= Next.StepSince + profileOf(Plan.Rule).SettleTime;
}

bool move_decision::canStepBack() const {
  return Next.StepsBack < MaxStepsBack &&
         Now + profileOf(Plan.Rule).MinComparisonTime < Plan.Rule.Deadline;
}

bool move_decision::areWorkersMissing() const {
  return Observation.TooFewWorkersSince != instant() &&
         Now >= Observation.TooFewWorkersSince +
                    profileOf(Plan.Rule).MissingWorkersTimeout;
}

bool move_decision::hasFreshReports() const {
  return Observation.NewReporters * 2 >= Observation.NewWorkers;
}

/// The calls in service at the same time (call rate times mean duration) plus
/// two standard deviations must fit into the usable slots of the new version.
bool move_decision::hasCapacityFor(unsigned Share) const {
  double Fraction = static_cast<double>(Share) / FullShare;
  double PerSecond = static_cast<double>(Observation.CallsPerMinute) / 60;
  double InService =
      Fraction * PerSecond *
      std::chrono::duration<double>(Observation.MeanDuration).count();
  double Needed = InService + 2 * std::sqrt(InService);
  return Needed <= profileOf(Plan.Rule).MaxSlotUtilization *
                       static_cast<double>(Observation.NewSlots);
}

void move_decision::startStep(unsigned Share) {
  ++Next.Step;
  Next.Share = Share;
  Next.StepSince = Now;
  Next.To = Plan.Rule.To;
}

void move_decision::raiseStep() {
  startStep(Next.Step == 0 ? Plan.firstShare(Observation.CallsPerMinute)
                           : Plan.nextShare(Next.Share));
  Next.Reason = Evaluation.Reason;
}

void move_decision::stepBack() {
  ++Next.StepsBack;
  startStep(std::min(ComparisonShare, Next.Share));
  Next.Reason = "compared again, since " + Evaluation.Reason;
}

void move_decision::finish(move_phase Phase, std::string Reason) {
  Next.Phase = Phase;
  Next.DecidedAt = Now;
  Next.To = Plan.Rule.To;
  Next.Reason = std::move(Reason);
}

std::string move_decision::expiredReason() const {
  char Text[200];
  if (!hasEnoughWorkers(Observation)) {
    std::snprintf(Text, sizeof Text,
                  "the set time came with %u of %u workers of the new version "
                  "ready",
                  Observation.NewWorkers, Observation.WantedWorkers);
    return Text;
  }
  if (Next.Share < FullShare &&
      !hasCapacityFor(Plan.nextShare(std::max(Next.Share, 1U)))) {
    std::snprintf(Text, sizeof Text,
                  "the set time came while %u slots of the new version were "
                  "too few for more than %.1f%% of %llu calls a minute",
                  Observation.NewSlots, Next.Share * 100.0 / FullShare,
                  static_cast<unsigned long long>(Observation.CallsPerMinute));
    return Text;
  }
  if (Next.Share == FullShare && newCalls(Observation) < MinVerdictCalls) {
    std::snprintf(Text, sizeof Text,
                  "the set time came with only %llu calls on the new version, "
                  "too few to call it done",
                  static_cast<unsigned long long>(newCalls(Observation)));
    return Text;
  }
  return "the set time came before the evidence was enough: " +
         Evaluation.Reason;
}

std::string move_decision::tooLittleTimeReason() const {
  return "too little time was left before the set time to compare the "
         "versions; set a later one";
}

std::string move_decision::missingWorkersReason() const {
  char Text[120];
  std::snprintf(Text, sizeof Text,
                "only %u of %u workers of the new version were left",
                Observation.NewWorkers, Observation.WantedWorkers);
  return Text;
}

std::string move_decision::suspectReason() const {
  return "the new version is worse at full share than the old one was: " +
         Evaluation.Reason;
}

} // namespace chivebeam
