#include "routing/hedge_policy.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Calls that are slower than this share of the calls of their route are
/// hedged.
constexpr double SlowQuantile = 0.95;
/// Copies that may be sent together after a time without any.
constexpr double MaxBudget = 5;
/// A server takes copies while fewer of its slots than this fraction are busy.
constexpr double MaxBusyFraction = 0.8;
/// Bounds the memory for routes, which come and go; at this number, all
/// estimates are dropped.
constexpr std::size_t MaxRoutes = 4'096;

} // namespace

void hedge_policy::callStarted() {
  Budget = std::min(Budget + Limits.ExtraPercent / 100.0, MaxBudget);
}

void hedge_policy::recordLatency(const route_name &Route,
                                 microseconds Latency) {
  if (!isEnabled())
    return;
  if (Latencies.size() >= MaxRoutes && !Latencies.contains(Route))
    Latencies.clear();
  Latencies.try_emplace(Route, SlowQuantile).first->second.record(Latency);
}

std::optional<microseconds>
hedge_policy::delayOf(const route_name &Route) const {
  auto Found = Latencies.find(Route);
  if (!isEnabled() || Found == Latencies.end() ||
      Found->second.value().count() == 0)
    return std::nullopt;
  return Found->second.value();
}

bool hedge_policy::takeHedge(const home_load *Target) {
  bool HasRoom = Target && Target->Waiting == 0 &&
                 Target->Running < Target->Limit * MaxBusyFraction;
  if (!isEnabled() || !HasRoom || Budget < 1)
    return false;
  Budget -= 1;
  return true;
}

} // namespace chivebeam
