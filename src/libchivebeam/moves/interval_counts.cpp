#include "moves/interval_counts.h"

#include <set>

namespace chivebeam {

namespace {

constexpr event_tolerance FailureTolerance{1.3, 0.001};
constexpr event_tolerance SlownessTolerance{1.5, 0.01};
constexpr std::uint64_t MinCallsForBound = 30;
constexpr double BoundQuantile = 0.9;

const route_evidence &find(const evidence_by_route &Routes,
                           const route_name &Route) {
  static const route_evidence None;
  auto Found = Routes.find(Route);
  return Found == Routes.end() ? None : Found->second;
}

event_counts failuresOf(const route_evidence &Old, const route_evidence &New) {
  return {static_cast<double>(New.Failures), static_cast<double>(New.Calls),
          static_cast<double>(Old.Failures), static_cast<double>(Old.Calls)};
}

event_counts slowCallsOf(const latency_histogram &Old,
                         const latency_histogram &New, std::size_t Bound) {
  return {static_cast<double>(New.countAbove(Bound)),
          static_cast<double>(New.total()),
          static_cast<double>(Old.countAbove(Bound)),
          static_cast<double>(Old.total())};
}

} // namespace

slow_bounds slowBounds(const evidence_by_route &Old, std::size_t Margin) {
  slow_bounds Bounds;
  for (const auto &[Route, Evidence] : Old)
    if (Evidence.Latency.total() >= MinCallsForBound)
      Bounds[Route] = Evidence.Latency.bucketOf(BoundQuantile) + Margin;
  return Bounds;
}

void interval_counts::add(const evidence_window &Window) {
  std::set<route_name> Names;
  for (const auto &[Route, Evidence] : Window.New)
    Names.insert(Route);
  for (const auto &[Route, Evidence] : Window.Old)
    Names.insert(Route);
  event_counts SumFailures;
  event_counts SumSlow;
  for (const route_name &Route : Names) {
    const route_evidence &Old = find(Window.Old, Route);
    const route_evidence &New = find(Window.New, Route);
    route_intervals &Intervals = Routes[Route];
    Intervals.Failures.push_back(failuresOf(Old, New));
    SumFailures.add(Intervals.Failures.back());
    auto Bound = Bounds.find(Route);
    if (Bound == Bounds.end())
      continue;
    Intervals.SlowCalls.push_back(
        slowCallsOf(Old.Latency, New.Latency, Bound->second));
    SumSlow.add(Intervals.SlowCalls.back());
  }
  Sum.Failures.push_back(SumFailures);
  Sum.SlowCalls.push_back(SumSlow);
}

event_counts interval_counts::total(bool OfSlowCalls) const {
  event_counts Total;
  for (const event_counts &Counts : OfSlowCalls ? Sum.SlowCalls : Sum.Failures)
    Total.add(Counts);
  return Total;
}

interval_counts::combined_evidence
interval_counts::combine(const route_intervals &Intervals) {
  double ByFailures =
      chivebeam::logEvidence(Intervals.Failures, FailureTolerance);
  double BySlowCalls =
      chivebeam::logEvidence(Intervals.SlowCalls, SlownessTolerance);
  return {logMean({ByFailures, BySlowCalls}), BySlowCalls > ByFailures};
}

double interval_counts::logEvidence(route_name &StrongestRoute,
                                    bool &FromSlowCalls) const {
  combined_evidence Strongest = combine(Sum);
  double SumLog = Strongest.Log;
  StrongestRoute = route_name();
  if (Routes.size() < 2) {
    FromSlowCalls = Strongest.FromSlowCalls;
    return SumLog;
  }
  std::vector<double> Logs;
  for (const auto &[Route, Intervals] : Routes) {
    combined_evidence Combined = combine(Intervals);
    Logs.push_back(Combined.Log);
    if (Combined.Log <= Strongest.Log)
      continue;
    Strongest = Combined;
    StrongestRoute = Route;
  }
  FromSlowCalls = Strongest.FromSlowCalls;
  return logMean({SumLog, logMean(Logs)});
}

} // namespace chivebeam
