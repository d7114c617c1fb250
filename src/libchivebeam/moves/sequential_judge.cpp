#include "moves/sequential_judge.h"

#include <cmath>
#include <cstdio>

#include "moves/stretch_counts.h"

namespace chivebeam {

namespace {

/// Recent windows that one move has at most; see evidence_tracker.
constexpr double MaxRecentWindows = 64;
constexpr std::uint64_t MinStepCalls = 10;
/// Evidence that keeps the share where it is, although not enough for bad.
const double LeaningLog = std::log(30.0);
/// Standard deviations by which the old version must stay below the new one's
/// rate, so that a cause outside both versions is ruled out.
constexpr double SharedCauseDeviations = 2.5;

double percent(std::uint64_t Part, std::uint64_t Whole) {
  return Whole == 0
             ? 0.0
             : 100.0 * static_cast<double>(Part) / static_cast<double>(Whole);
}

double millis(microseconds Time) {
  return static_cast<double>(Time.count()) / 1000;
}

route_evidence pick(const evidence_by_route &Routes, const route_name &Route) {
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

/// One look at the evidence, with what weighs most in it.
struct look {
  double Log = 0;
  route_name Route;
  bool BySlowness = false;

  look(const std::vector<const evidence_window *> &Windows,
       const slow_bounds &Bounds) {
    stretch_counts Counts(Bounds);
    for (const evidence_window *Window : Windows)
      Counts.add(*Window);
    Log = Counts.logEvidence(Route, BySlowness);
  }

  std::string describe(const evidence_window &Total,
                       std::string_view Against) const {
    route_evidence Old = pick(Total.Old, Route);
    route_evidence New = pick(Total.New, Route);
    std::string Text =
        BySlowness ? describeLatency(Old, New) : describeFailures(Old, New);
    if (!Route.empty())
      Text = "on route " + Route.str() + ", " + Text;
    return Text + std::string(Against);
  }
};

/// True unless the old version has clearly fewer events than it would have at
/// the new version's rate.
bool mayShareCause(const evidence_window &Window, const slow_bounds &Bounds,
                   bool BySlowness) {
  stretch_counts Stretch(Bounds);
  Stretch.add(Window);
  event_counts Counts = Stretch.total(BySlowness);
  if (Counts.NewCalls <= 0)
    return true;
  double Expected = Counts.OldCalls * Counts.NewEvents / Counts.NewCalls;
  return Counts.OldEvents >
         Expected - SharedCauseDeviations * std::sqrt(Expected);
}

/// Raises a route's evidence to the rates of the old version's worst stretch.
route_evidence raisedTo(const route_evidence &Worst, route_evidence Total,
                        std::size_t SlowBound) {
  if (Worst.Calls == 0 || Total.Calls < Worst.Calls)
    return Total;
  std::uint64_t Times = Total.Calls / Worst.Calls;
  Total.Failures = std::max(Total.Failures, Worst.Failures * Times);
  if (Worst.Latency.countAbove(SlowBound) * Times <=
      Total.Latency.countAbove(SlowBound))
    return Total;
  Total.Latency = latency_histogram();
  for (std::size_t Index = 0; Index < latency_histogram::BucketCount; ++Index)
    Total.Latency.buckets()[Index] = Worst.Latency.buckets()[Index] * Times;
  return Total;
}

/// Returns what the old version did in the move, with the rates of its worst
/// stretch where these are higher.
evidence_by_route recordOf(const move_evidence &Evidence,
                           const evidence_by_route &TotalOld,
                           const slow_bounds &Bounds) {
  evidence_by_route Record;
  for (const auto &[Route, Total] : TotalOld) {
    auto Bound = Bounds.find(Route);
    std::size_t SlowBound =
        Bound == Bounds.end() ? latency_histogram::BucketCount : Bound->second;
    Record[Route] = raisedTo(pick(Evidence.WorstOld, Route), Total, SlowBound);
  }
  return Record;
}

} // namespace

judgement_result
sequential_judge::holdAgainstRecord(const move_evidence &Evidence,
                                    const evidence_by_route &Record,
                                    const slow_bounds &Bounds) const {
  for (const evidence_window *Window :
       {&Evidence.Recent, &Evidence.SinceStep}) {
    evidence_window Compared{Record, Window->New};
    look Look({&Compared}, Bounds);
    if (Look.Log >= std::log(1 / Settings.SuspectErrorRate))
      return {judgement::suspect,
              Look.describe(Compared, " in its worst stretch"), Look.Log};
  }
  return {};
}

/// After a suspicion, the new version is bad if it is worse than the old one
/// is now and than it ever was, while the old one is as it always was: so the
/// cause is neither shared nor over.
judgement_result
sequential_judge::compareAgain(const move_evidence &Evidence,
                               const evidence_by_route &Record,
                               const slow_bounds &Bounds) const {
  double Needed = std::log(1 / Settings.SuspectErrorRate);
  look Now({&Evidence.SinceStep}, Bounds);
  if (Now.Log >= Needed)
    return {judgement::bad,
            Now.describe(Evidence.SinceStep, " over the same time"), Now.Log};
  evidence_window Pooled{Record, Evidence.SinceStep.New};
  addRoutes(Pooled.Old, Evidence.SinceStep.Old);
  look Both({&Pooled}, Bounds);
  if (Both.Log < Needed ||
      mayShareCause(Evidence.SinceStep, Bounds, Both.BySlowness))
    return {};
  return {judgement::bad, Both.describe(Pooled, " before and beside it"),
          Both.Log};
}

bool sequential_judge::isTooNoisy(const evidence_window &Window) const {
  route_evidence Old = totalOf(Window.Old);
  return Old.Calls >= MinStepCalls &&
         static_cast<double>(Old.Failures) >
             static_cast<double>(Old.Calls) * Settings.MaxOldFailures;
}

judgement_result sequential_judge::judge(const move_evidence &Evidence) const {
  static const evidence_window Nothing;
  evidence_window Total = totalOf(Evidence);
  slow_bounds Bounds = slowBounds(Total.Old, Settings.SlowMargin);
  std::vector<const evidence_window *> Steps;
  if (!Evidence.Uncompared)
    Steps.push_back(&Evidence.SinceStep);
  for (const evidence_window &Window : Evidence.Earlier)
    Steps.push_back(&Window);
  look OverMove(Steps, Bounds);
  if (OverMove.Log >= std::log(1 / Settings.MoveErrorRate))
    return {judgement::bad, OverMove.describe(Total, " over the same time"),
            OverMove.Log};
  look Lately({Evidence.Uncompared ? &Nothing : &Evidence.Recent}, Bounds);
  if (Lately.Log >= std::log(MaxRecentWindows / Settings.RecentErrorRate))
    return {judgement::bad,
            Lately.describe(Evidence.Recent, " over the same time lately"),
            Lately.Log};
  if (!Evidence.WorstOld.empty()) {
    evidence_by_route Record = recordOf(Evidence, Total.Old, Bounds);
    judgement_result Held;
    if (Evidence.Uncompared)
      Held = holdAgainstRecord(Evidence, Record, Bounds);
    else if (Evidence.Suspected)
      Held = compareAgain(Evidence, Record, Bounds);
    if (Held.Judgement != judgement::undecided)
      return Held;
  }
  std::string Figures =
      describeFailures(totalOf(Total.Old), totalOf(Total.New)) + "; " +
      describeLatency(totalOf(Total.Old), totalOf(Total.New));
  double Most = std::max(OverMove.Log, Lately.Log);
  if (Most >= LeaningLog)
    return {judgement::undecided,
            "the figures lean against the new version: " + Figures, Most};
  if (isTooNoisy(Evidence.SinceStep) || isTooNoisy(Evidence.Recent))
    return {judgement::undecided,
            "the old version fails too often to compare with: " + Figures,
            Most};
  if (totalOf(Evidence.SinceStep.New).Calls < MinStepCalls)
    return {judgement::undecided, "few calls so far: " + Figures, Most};
  return {judgement::good, Figures, Most};
}

} // namespace chivebeam
