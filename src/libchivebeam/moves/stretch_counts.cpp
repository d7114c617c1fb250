#include "moves/stretch_counts.h"

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

void stretch_counts::add(const evidence_window &Window) {
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
    route_stretches &Stretches = Routes[Route];
    Stretches.Failures.push_back(failuresOf(Old, New));
    SumFailures.add(Stretches.Failures.back());
    auto Bound = Bounds.find(Route);
    if (Bound == Bounds.end())
      continue;
    Stretches.SlowCalls.push_back(
        slowCallsOf(Old.Latency, New.Latency, Bound->second));
    SumSlow.add(Stretches.SlowCalls.back());
  }
  Sum.Failures.push_back(SumFailures);
  Sum.SlowCalls.push_back(SumSlow);
}

event_counts stretch_counts::total(bool OfSlowCalls) const {
  event_counts Total;
  for (const event_counts &Counts : OfSlowCalls ? Sum.SlowCalls : Sum.Failures)
    Total.add(Counts);
  return Total;
}

stretch_counts::weighed
stretch_counts::weigh(const route_stretches &Stretches) {
  double ByFailures =
      chivebeam::logEvidence(Stretches.Failures, FailureTolerance);
  double BySlow =
      chivebeam::logEvidence(Stretches.SlowCalls, SlownessTolerance);
  return {logMean({ByFailures, BySlow}), BySlow > ByFailures};
}

double stretch_counts::logEvidence(route_name &Heaviest,
                                   bool &BySlowness) const {
  weighed Most = weigh(Sum);
  double OfSum = Most.Log;
  Heaviest = route_name();
  if (Routes.size() < 2) {
    BySlowness = Most.BySlowness;
    return OfSum;
  }
  std::vector<double> Logs;
  for (const auto &[Route, Stretches] : Routes) {
    weighed Weighed = weigh(Stretches);
    Logs.push_back(Weighed.Log);
    if (Weighed.Log <= Most.Log)
      continue;
    Most = Weighed;
    Heaviest = Route;
  }
  BySlowness = Most.BySlowness;
  return logMean({OfSum, logMean(Logs)});
}

} // namespace chivebeam
