#include "routing/hedge_policy.h"

#include <utility>

namespace chivebeam {

namespace {

/// Calls that are slower than this share of the calls of their route are
/// hedged.
constexpr double SlowQuantile = 0.95;
/// A server takes copies while fewer of its slots than this fraction are busy.
constexpr double MaxBusyFraction = 0.8;
/// Bounds the memory for routes, which come and go; at this number, all
/// estimates are dropped.
constexpr std::size_t MaxRoutes = 4'096;

} // namespace

hedge_policy::hedge_policy(hedge_limits InitialLimits)
    : Limits(std::move(InitialLimits)), Budget(Limits.ExtraPercent) {
  for (const auto &[Route, Percent] : Limits.RoutePercent)
    RouteBudgets.emplace(Route, hedge_budget(Percent));
}

bool hedge_policy::isEnabled(const route_name &Route) const {
  auto Found = Limits.RoutePercent.find(Route);
  return isEnabled() &&
         (Found == Limits.RoutePercent.end() || Found->second > 0);
}

hedge_budget *hedge_policy::budgetOf(const route_name &Route) {
  auto Found = RouteBudgets.find(Route);
  return Found == RouteBudgets.end() ? nullptr : &Found->second;
}

void hedge_policy::callStarted(const route_name &Route) {
  if (!isEnabled(Route))
    return;
  Budget.callStarted();
  if (hedge_budget *Own = budgetOf(Route))
    Own->callStarted();
}

void hedge_policy::recordLatency(const route_name &Route,
                                 microseconds Latency) {
  if (!isEnabled(Route))
    return;
  if (Latencies.size() >= MaxRoutes && !Latencies.contains(Route))
    Latencies.clear();
  Latencies.try_emplace(Route, SlowQuantile).first->second.record(Latency);
}

void hedge_policy::recordWork(const route_name &Route, microseconds RunTime,
                              instant Now) {
  if (!isEnabled(Route))
    return;
  BaseWork += RunTime;
  Budget.recordWork(RunTime, Now);
  if (hedge_budget *Own = budgetOf(Route))
    Own->recordWork(RunTime, Now);
}

std::optional<microseconds>
hedge_policy::delayOf(const route_name &Route) const {
  auto Found = Latencies.find(Route);
  if (Found == Latencies.end() || Found->second.value().count() == 0)
    return std::nullopt;
  return Found->second.value();
}

bool hedge_policy::takeHedge(const hedge_copy &Copy, const home_load *Target,
                             instant Now) {
  bool HasRoom = Target && Target->Waiting == 0 &&
                 Target->Running < Target->Limit * MaxBusyFraction;
  hedge_budget *Own = budgetOf(Copy.Route);
  if (!isEnabled(Copy.Route) || !HasRoom ||
      !Budget.mayTake(Copy.Expected, Now) ||
      (Own && !Own->mayTake(Copy.Expected, Now)))
    return false;
  Budget.take(Copy.Expected);
  if (Own)
    Own->take(Copy.Expected);
  return true;
}

void hedge_policy::copyEnded(const hedge_copy &Copy, microseconds Took,
                             instant Now) {
  ExtraWork += Took;
  Budget.copyEnded(Copy.Expected, Took, Now);
  if (hedge_budget *Own = budgetOf(Copy.Route))
    Own->copyEnded(Copy.Expected, Took, Now);
}

} // namespace chivebeam
