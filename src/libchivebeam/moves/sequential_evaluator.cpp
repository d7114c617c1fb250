#include "moves/sequential_evaluator.h"

#include <cmath>
#include <cstdio>

#include "moves/interval_counts.h"

namespace chivebeam {

namespace {

/// Maximum number of recent windows in one move; see evidence_tracker.
constexpr double MaxRecentWindows = 64;
constexpr std::uint64_t MinStepCalls = 10;
/// Natural logarithm of the evidence that delays the next step, although it is
/// not strong enough for bad.
const double HoldLogEvidence = std::log(30.0);
/// Number of standard deviations by which the old version's events must stay
/// below the number expected at the new version's rate, so that a cause common
/// to both versions is ruled out.
constexpr double SharedCauseDeviations = 2.5;

double percent(std::uint64_t Part, std::uint64_t Whole) {
  return Whole == 0
             ? 0.0
             : 100.0 * static_cast<double>(Part) / static_cast<double>(Whole);
}

double millis(microseconds Time) {
  return static_cast<double>(Time.count()) / 1000;
}

route_evidence evidenceOf(const evidence_by_route &Routes,
                          const route_name &Route) {
  if (Route.empty())
    return totalOf(Routes);
  auto Found = Routes.find(Route);
  return Found == Routes.end() ? route_evidence() : Found->second;
}

std::string describeFailures(const route_evidence &Old,
                             const route_evidence &New) {
  char Text[160];
  std::snprintf(Text, sizeof Text,
                "%.1f%% of %llu calls failed, against %.1f%% of %llu on the "
                "old version",
                percent(New.Failures, New.Calls),
                static_cast<unsigned long long>(New.Calls),
                percent(Old.Failures, Old.Calls),
                static_cast<unsigned long long>(Old.Calls));
  return Text;
}

std::string describeLatency(const route_evidence &Old,
                            const route_evidence &New) {
  char Text[160];
  std::snprintf(
      Text, sizeof Text,
      "half of the calls took up to %.1f ms and nine in ten up to "
      "%.1f ms, against %.1f ms and %.1f ms on the old version",
      millis(New.Latency.quantile(0.5)), millis(New.Latency.quantile(0.9)),
      millis(Old.Latency.quantile(0.5)), millis(Old.Latency.quantile(0.9)));
  return Text;
}

/// One evaluation of the evidence, with the route and the kind of event that
/// contribute most to it.
struct evidence_evaluation {
  double Log = 0;
  route_name Route;
  bool BySlowCalls = false;

  evidence_evaluation(const std::vector<const evidence_window *> &Windows,
                      const slow_bounds &Bounds) {
    interval_counts Counts(Bounds);
    for (const evidence_window *Window : Windows)
      Counts.add(*Window);
    Log = Counts.logEvidence(Route, BySlowCalls);
  }

  std::string describe(const evidence_window &Total,
                       std::string_view Against) const {
    route_evidence Old = evidenceOf(Total.Old, Route);
    route_evidence New = evidenceOf(Total.New, Route);
    std::string Text =
        BySlowCalls ? describeLatency(Old, New) : describeFailures(Old, New);
    if (!Route.empty())
      Text = "on route " + Route.str() + ", " + Text;
    return Text + std::string(Against);
  }
};

/// True unless the old version has clearly fewer events than expected at the
/// new version's event rate.
bool mayHaveSharedCause(const evidence_window &Window,
                        const slow_bounds &Bounds, bool BySlowCalls) {
  interval_counts Interval(Bounds);
  Interval.add(Window);
  event_counts Counts = Interval.total(BySlowCalls);
  if (Counts.NewCalls <= 0)
    return true;
  double Expected = Counts.OldCalls * Counts.NewEvents / Counts.NewCalls;
  return Counts.OldEvents >
         Expected - SharedCauseDeviations * std::sqrt(Expected);
}

/// Returns Total with the failure rate and latencies of the old version's worst
/// interval where these are worse.
route_evidence scaledToWorst(const route_evidence &Worst, route_evidence Total,
                             std::size_t SlowBound) {
  if (Worst.Calls == 0 || Total.Calls < Worst.Calls)
    return Total;
  std::uint64_t Factor = Total.Calls / Worst.Calls;
  Total.Failures = std::max(Total.Failures, Worst.Failures * Factor);
  if (Worst.Latency.countAbove(SlowBound) * Factor <=
      Total.Latency.countAbove(SlowBound))
    return Total;
  Total.Latency = latency_histogram();
  for (std::size_t Index = 0; Index < latency_histogram::BucketCount; ++Index)
    Total.Latency.buckets()[Index] = Worst.Latency.buckets()[Index] * Factor;
  return Total;
}

/// Returns the old version's evidence over the whole move, with the rates of
/// its worst interval where these are higher.
evidence_by_route baselineOf(const move_evidence &Evidence,
                             const evidence_by_route &TotalOld,
                             const slow_bounds &Bounds) {
  evidence_by_route Baseline;
  for (const auto &[Route, Total] : TotalOld) {
    auto Bound = Bounds.find(Route);
    std::size_t SlowBound =
        Bound == Bounds.end() ? latency_histogram::BucketCount : Bound->second;
    Baseline[Route] = scaledToWorst(
        evidenceOf(Evidence.WorstOldInterval, Route), Total, SlowBound);
  }
  return Baseline;
}

} // namespace

evaluation_result
sequential_evaluator::compareWithWorst(const move_evidence &Evidence,
                                       const evidence_by_route &Baseline,
                                       const slow_bounds &Bounds) const {
  for (const evidence_window *Window :
       {&Evidence.Recent, &Evidence.SinceStep}) {
    evidence_window Compared{Baseline, Window->New};
    evidence_evaluation Evaluation({&Compared}, Bounds);
    if (Evaluation.Log >= std::log(1 / Settings.SuspectErrorRate))
      return {evaluation_outcome::suspect,
              Evaluation.describe(Compared, " in its worst stretch"),
              Evaluation.Log};
  }
  return {};
}

/// After the new version became suspect, it is bad if it is worse than the old
/// version is now, or worse than the old version's pooled past and present
/// while the old version still has clearly fewer events. This rules out a cause
/// that affects both versions or that is already over.
evaluation_result
sequential_evaluator::compareAfterSuspicion(const move_evidence &Evidence,
                                            const evidence_by_route &Baseline,
                                            const slow_bounds &Bounds) const {
  double Needed = std::log(1 / Settings.SuspectErrorRate);
  evidence_evaluation CurrentEvaluation({&Evidence.SinceStep}, Bounds);
  if (CurrentEvaluation.Log >= Needed)
    return {
        evaluation_outcome::bad,
        CurrentEvaluation.describe(Evidence.SinceStep, " over the same time"),
        CurrentEvaluation.Log};
  evidence_window Pooled{Baseline, Evidence.SinceStep.New};
  addRoutes(Pooled.Old, Evidence.SinceStep.Old);
  evidence_evaluation PooledEvaluation({&Pooled}, Bounds);
  if (PooledEvaluation.Log < Needed ||
      mayHaveSharedCause(Evidence.SinceStep, Bounds,
                         PooledEvaluation.BySlowCalls))
    return {};
  return {evaluation_outcome::bad,
          PooledEvaluation.describe(Pooled, " before and beside it"),
          PooledEvaluation.Log};
}

bool sequential_evaluator::isTooNoisy(const evidence_window &Window) const {
  route_evidence Old = totalOf(Window.Old);
  return Old.Calls >= MinStepCalls &&
         static_cast<double>(Old.Failures) >
             static_cast<double>(Old.Calls) * Settings.MaxOldFailureRate;
}

evaluation_result
sequential_evaluator::evaluate(const move_evidence &Evidence) const {
  static const evidence_window EmptyWindow;
  evidence_window Total = totalOf(Evidence);
  slow_bounds Bounds = slowBounds(Total.Old, Settings.SlowBucketMargin);
  std::vector<const evidence_window *> Steps;
  if (!Evidence.Uncompared)
    Steps.push_back(&Evidence.SinceStep);
  for (const evidence_window &Window : Evidence.Earlier)
    Steps.push_back(&Window);
  evidence_evaluation MoveEvaluation(Steps, Bounds);
  if (MoveEvaluation.Log >= std::log(1 / Settings.MoveErrorRate))
    return {evaluation_outcome::bad,
            MoveEvaluation.describe(Total, " over the same time"),
            MoveEvaluation.Log};
  evidence_evaluation RecentEvaluation(
      {Evidence.Uncompared ? &EmptyWindow : &Evidence.Recent}, Bounds);
  if (RecentEvaluation.Log >=
      std::log(MaxRecentWindows / Settings.RecentErrorRate))
    return {evaluation_outcome::bad,
            RecentEvaluation.describe(Evidence.Recent,
                                      " over the same time lately"),
            RecentEvaluation.Log};
  if (!Evidence.WorstOldInterval.empty()) {
    evidence_by_route Baseline = baselineOf(Evidence, Total.Old, Bounds);
    evaluation_result Result;
    if (Evidence.Uncompared)
      Result = compareWithWorst(Evidence, Baseline, Bounds);
    else if (Evidence.Suspected)
      Result = compareAfterSuspicion(Evidence, Baseline, Bounds);
    if (Result.Outcome != evaluation_outcome::undecided)
      return Result;
  }
  std::string Figures =
      describeFailures(totalOf(Total.Old), totalOf(Total.New)) + "; " +
      describeLatency(totalOf(Total.Old), totalOf(Total.New));
  double HighestLog = std::max(MoveEvaluation.Log, RecentEvaluation.Log);
  if (HighestLog >= HoldLogEvidence)
    return {evaluation_outcome::undecided,
            "the figures lean against the new version: " + Figures, HighestLog};
  if (isTooNoisy(Evidence.SinceStep) || isTooNoisy(Evidence.Recent))
    return {evaluation_outcome::undecided,
            "the old version fails too often to compare with: " + Figures,
            HighestLog};
  if (totalOf(Evidence.SinceStep.New).Calls < MinStepCalls)
    return {evaluation_outcome::undecided, "few calls so far: " + Figures,
            HighestLog};
  return {evaluation_outcome::good, Figures, HighestLog};
}

} // namespace chivebeam
