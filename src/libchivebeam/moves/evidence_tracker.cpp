#include "moves/evidence_tracker.h"

#include <algorithm>

#include "moves/move_pace.h"

namespace chivebeam {

namespace {

/// A move's time is divided into so many recent windows; steps start more of
/// them. Together they stay below the number that the judge allows for.
constexpr int RecentWindows = 40;
constexpr std::size_t MaxEarlierSteps = 16;
/// Calls of the old version that make a stretch worth keeping.
constexpr std::uint64_t MinWorstCalls = 200;

microseconds recentLength(const move_rule &Rule) {
  return std::max((Rule.Deadline - Rule.Start) / RecentWindows,
                  paceOf(Rule).MinRecent);
}

/// Parts of ten thousand, so that stretches compare without rounding errors
/// that differ between machines.
std::uint64_t failurePart(const route_evidence &Evidence) {
  return Evidence.Failures * 10'000 /
         std::max<std::uint64_t>(Evidence.Calls, 1);
}

} // namespace

void evidence_tracker::offer(const evidence_report &Report, instant Now) {
  if (FirstReport == instant())
    FirstReport = Now;
  Book.offer(Report, Now);
}

void evidence_tracker::keepWorst(const evidence_by_route &Old) {
  addRoutes(OldStretch, Old);
  route_evidence Total = totalOf(OldStretch);
  if (Total.Calls < MinWorstCalls)
    return;
  route_evidence Worst = totalOf(WorstOld);
  bool Worse = failurePart(Total) > failurePart(Worst);
  bool SameButMore =
      failurePart(Total) == failurePart(Worst) && Total.Calls > Worst.Calls;
  if (Worst.Calls == 0 || Worse || SameButMore)
    WorstOld = OldStretch;
  OldStretch.clear();
}

void evidence_tracker::beginRecent(const move_rule &Rule, instant Now) {
  evidence_window Closed = Book.since(window_start::recent, Rule.From, Rule.To);
  keepWorst(Closed.Old);
  measureTraffic(Rule, Closed, Now);
  Book.mark(window_start::recent);
  RecentSince = Now;
}

bool evidence_tracker::isNewStep(const move_rule &Rule,
                                 const move_progress &Progress,
                                 instant Now) const {
  bool Settled = Progress.StepsBack == MarkedStepsBack ||
                 Now >= Progress.StepSince + paceOf(Rule).SettleTime;
  return MarkedStep != Progress.Step && Settled;
}

void evidence_tracker::beginStep(const move_rule &Rule,
                                 const move_progress &Progress, instant Now) {
  Earlier.push_back(Book.since(window_start::step, Rule.From, Rule.To));
  if (MarkedShare == FullShare)
    Earlier.back().Old.clear(); // those calls were reported late
  if (MarkedStep == 0)
    Earlier.clear();
  if (Earlier.size() > MaxEarlierSteps)
    Earlier.erase(Earlier.begin());
  Book.mark(window_start::step);
  MarkedStep = Progress.Step;
  MarkedShare = Progress.Share;
  MarkedStepsBack = Progress.StepsBack;
  beginRecent(Rule, Now);
}

void evidence_tracker::measureTraffic(const move_rule &Rule,
                                      const evidence_window &Window,
                                      instant Now) {
  if (FirstReport == instant() ||
      Now < std::max(RecentSince, FirstReport) + paceOf(Rule).TrafficStretch)
    return;
  route_evidence Total = totalOf(Window.Old);
  Total.add(totalOf(Window.New));
  constexpr microseconds Minute = std::chrono::minutes(1);
  microseconds Stretch = Now - std::max(RecentSince, FirstReport);
  CallsPerMinute = Total.Calls * static_cast<std::uint64_t>(Minute.count()) /
                   static_cast<std::uint64_t>(Stretch.count());
  MeanDuration = Total.Latency.mean();
  TrafficKnown = true;
}

move_observation evidence_tracker::observe(const move_rule &Rule,
                                           const move_progress &Progress,
                                           const worker_counts &Workers,
                                           instant Now) {
  if (isNewStep(Rule, Progress, Now))
    beginStep(Rule, Progress, Now);
  else if (Now >= RecentSince + recentLength(Rule))
    beginRecent(Rule, Now);
  move_observation Seen;
  Seen.Evidence.Earlier = Earlier;
  Seen.Evidence.SinceStep = Book.since(window_start::step, Rule.From, Rule.To);
  Seen.Evidence.Recent = Book.since(window_start::recent, Rule.From, Rule.To);
  Seen.Evidence.WorstOld = WorstOld;
  Seen.Evidence.Uncompared = MarkedShare == FullShare;
  Seen.Evidence.Suspected = Progress.StepsBack > 0;
  measureTraffic(Rule, Seen.Evidence.Recent, Now);
  Seen.CallsPerMinute = CallsPerMinute;
  Seen.MeanDuration = MeanDuration;
  Seen.TrafficKnown = TrafficKnown;
  Seen.OldWorkers = Workers.Old;
  Seen.NewWorkers = Workers.New;
  Seen.NewSlots = Workers.NewSlots;
  Seen.WantedWorkers = Workers.Wanted;
  Seen.NewReporters =
      Book.reportersSince(Rule.To, Now - paceOf(Rule).FreshReport);
  if (hasEnoughWorkers(Seen))
    ShortSince = instant();
  else if (ShortSince == instant())
    ShortSince = Now;
  Seen.ShortSince = ShortSince;
  return Seen;
}

} // namespace chivebeam
