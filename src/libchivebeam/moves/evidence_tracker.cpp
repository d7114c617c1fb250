#include "moves/evidence_tracker.h"

#include <algorithm>

#include "moves/move_profile.h"

namespace chivebeam {

namespace {

/// Number of recent windows in a move; each step starts an additional one. The
/// total stays below MaxRecentWindows of sequential_evaluator.
constexpr int RecentWindowsPerMove = 40;
constexpr std::size_t MaxEarlierSteps = 16;
/// Minimum number of calls of the old version in an interval that is considered
/// as the worst one.
constexpr std::uint64_t MinIntervalCalls = 200;

microseconds recentLength(const move_rule &Rule) {
  return std::max((Rule.Deadline - Rule.Start) / RecentWindowsPerMove,
                  profileOf(Rule).MinRecentWindow);
}

/// Returns the failure rate in integer parts per ten thousand, so that
/// comparisons do not depend on rounding that differs between machines.
std::uint64_t failuresPerTenThousand(const route_evidence &Evidence) {
  return Evidence.Failures * 10'000 /
         std::max<std::uint64_t>(Evidence.Calls, 1);
}

} // namespace

void evidence_tracker::addReport(const evidence_report &Report, instant Now) {
  if (FirstReportAt == instant())
    FirstReportAt = Now;
  Registry.addReport(Report, Now);
}

void evidence_tracker::updateWorstInterval(const evidence_by_route &Old) {
  addRoutes(OldInterval, Old);
  route_evidence Total = totalOf(OldInterval);
  if (Total.Calls < MinIntervalCalls)
    return;
  route_evidence Worst = totalOf(WorstOldInterval);
  bool Worse = failuresPerTenThousand(Total) > failuresPerTenThousand(Worst);
  bool SameRateMoreCalls =
      failuresPerTenThousand(Total) == failuresPerTenThousand(Worst) &&
      Total.Calls > Worst.Calls;
  if (Worst.Calls == 0 || Worse || SameRateMoreCalls)
    WorstOldInterval = OldInterval;
  OldInterval.clear();
}

void evidence_tracker::startRecentWindow(const move_rule &Rule, instant Now) {
  evidence_window ClosedWindow =
      Registry.collectWindow(window_kind::recent, Rule.From, Rule.To);
  updateWorstInterval(ClosedWindow.Old);
  measureTraffic(Rule, ClosedWindow, Now);
  Registry.startWindow(window_kind::recent);
  RecentStart = Now;
}

bool evidence_tracker::isNewStep(const move_rule &Rule,
                                 const move_progress &Progress,
                                 instant Now) const {
  bool Settled = Progress.StepsBack == WindowStepsBack ||
                 Now >= Progress.StepSince + profileOf(Rule).SettleTime;
  return WindowStep != Progress.Step && Settled;
}

void evidence_tracker::startStepWindow(const move_rule &Rule,
                                       const move_progress &Progress,
                                       instant Now) {
  Earlier.push_back(
      Registry.collectWindow(window_kind::step, Rule.From, Rule.To));
  if (WindowShare == FullShare)
    Earlier.back().Old.clear(); // late reports of earlier calls
  if (WindowStep == 0)
    Earlier.clear();
  if (Earlier.size() > MaxEarlierSteps)
    Earlier.erase(Earlier.begin());
  Registry.startWindow(window_kind::step);
  WindowStep = Progress.Step;
  WindowShare = Progress.Share;
  WindowStepsBack = Progress.StepsBack;
  startRecentWindow(Rule, Now);
}

void evidence_tracker::measureTraffic(const move_rule &Rule,
                                      const evidence_window &Window,
                                      instant Now) {
  if (FirstReportAt == instant() ||
      Now < std::max(RecentStart, FirstReportAt) +
                profileOf(Rule).MinTrafficInterval)
    return;
  route_evidence Total = totalOf(Window.Old);
  Total.add(totalOf(Window.New));
  constexpr microseconds Minute = std::chrono::minutes(1);
  microseconds Interval = Now - std::max(RecentStart, FirstReportAt);
  CallsPerMinute = Total.Calls * static_cast<std::uint64_t>(Minute.count()) /
                   static_cast<std::uint64_t>(Interval.count());
  MeanDuration = Total.Latency.mean();
  TrafficKnown = true;
}

move_observation evidence_tracker::observe(const move_rule &Rule,
                                           const move_progress &Progress,
                                           const worker_counts &Workers,
                                           instant Now) {
  if (isNewStep(Rule, Progress, Now))
    startStepWindow(Rule, Progress, Now);
  else if (Now >= RecentStart + recentLength(Rule))
    startRecentWindow(Rule, Now);
  move_observation Observation;
  Observation.Evidence.Earlier = Earlier;
  Observation.Evidence.SinceStep =
      Registry.collectWindow(window_kind::step, Rule.From, Rule.To);
  Observation.Evidence.Recent =
      Registry.collectWindow(window_kind::recent, Rule.From, Rule.To);
  Observation.Evidence.WorstOldInterval = WorstOldInterval;
  Observation.Evidence.Uncompared = WindowShare == FullShare;
  Observation.Evidence.Suspected = Progress.StepsBack > 0;
  measureTraffic(Rule, Observation.Evidence.Recent, Now);
  Observation.CallsPerMinute = CallsPerMinute;
  Observation.MeanDuration = MeanDuration;
  Observation.TrafficKnown = TrafficKnown;
  Observation.OldWorkers = Workers.Old;
  Observation.NewWorkers = Workers.New;
  Observation.NewSlots = Workers.NewSlots;
  Observation.WantedWorkers = Workers.Wanted;
  Observation.NewReporters =
      Registry.countReportersSince(Rule.To, Now - profileOf(Rule).MaxReportAge);
  if (hasEnoughWorkers(Observation))
    TooFewWorkersSince = instant();
  else if (TooFewWorkersSince == instant())
    TooFewWorkersSince = Now;
  Observation.TooFewWorkersSince = TooFewWorkersSince;
  return Observation;
}

} // namespace chivebeam
