#include "config/store_rate_limiter.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Long-term limits of the whole fleet's calls per second. Together with the
/// bursts of starting nodes, they stay below half of the rate that the
/// platform's store can handle.
constexpr double FleetReadsPerSecond = 250;
constexpr double FleetWritesPerSecond = 40;
/// Bursts of one node, in calls.
constexpr double ReadBurst = 2;
constexpr double WriteBurst = 2;
/// Additional rate for a node that holds a watcher lease, for reads and for
/// writes each.
constexpr double WatcherCallsPerSecond = 1;
/// Assumed sizes of the fleet and of a failure domain until membership reports
/// the real ones.
constexpr std::size_t AssumedFleetNodes = 600;
constexpr std::size_t AssumedDomainNodes = 100;

constexpr milliseconds MinPollInterval{1'000};
constexpr milliseconds PollIntervalPerNode{20};
constexpr milliseconds FirstBackoff{200};
constexpr unsigned MaxBackoffDoublings = 7;
/// Starting nodes delay their first call by a random time up to this one.
constexpr milliseconds FirstCallSpread{1'500};
/// Average number of nodes that try to acquire each free watcher lease.
constexpr double AttemptsPerFreeLease = 2;

} // namespace

store_rate_limiter::store_rate_limiter(std::uint64_t Seed)
    : Random(Seed), Reads(FleetReadsPerSecond / AssumedFleetNodes, ReadBurst),
      Writes(FleetWritesPerSecond / AssumedFleetNodes, WriteBurst) {}

void store_rate_limiter::updateRates(instant Now) {
  double FleetNodes =
      static_cast<double>(Nodes == 0 ? AssumedFleetNodes : Nodes);
  double WatcherRate = HoldsWatcherLease ? WatcherCallsPerSecond : 0;
  Reads.setRate(FleetReadsPerSecond / FleetNodes + WatcherRate, Now);
  Writes.setRate(FleetWritesPerSecond / FleetNodes + WatcherRate, Now);
}

void store_rate_limiter::setFleetSize(std::size_t NewNodes, instant Now) {
  Nodes = std::max<std::size_t>(NewNodes, 1);
  updateRates(Now);
}

void store_rate_limiter::setWatcherLeaseHeld(bool Holding, instant Now) {
  HoldsWatcherLease = Holding;
  updateRates(Now);
}

microseconds store_rate_limiter::reserve(store_call Call, instant Now) {
  return Call == store_call::read ? Reads.reserve(Now) : Writes.reserve(Now);
}

microseconds store_rate_limiter::jittered(microseconds Base) {
  double Factor = 0.5 + Random.unit();
  return microseconds(
      static_cast<std::int64_t>(static_cast<double>(Base.count()) * Factor));
}

microseconds store_rate_limiter::firstDelay() {
  std::uint64_t Spread =
      static_cast<std::uint64_t>(microseconds(FirstCallSpread).count());
  return microseconds(static_cast<std::int64_t>(Random.below(Spread)));
}

microseconds store_rate_limiter::pollDelay() {
  microseconds Interval =
      MinPollInterval + PollIntervalPerNode * static_cast<std::int64_t>(Nodes);
  if (ConsecutiveFailures == 0)
    return jittered(Interval);
  unsigned Doublings = std::min(ConsecutiveFailures - 1, MaxBackoffDoublings);
  return jittered(FirstBackoff * (1 << Doublings));
}

bool store_rate_limiter::shouldTryWatcherLease(std::size_t FreeLeases,
                                               std::size_t DomainNodes) {
  if (FreeLeases == 0)
    return false;
  std::size_t Candidates = Nodes == 0 ? AssumedDomainNodes : DomainNodes;
  double Probability =
      AttemptsPerFreeLease * static_cast<double>(FreeLeases) /
      static_cast<double>(std::max<std::size_t>(Candidates, 1));
  return Random.unit() < Probability;
}

} // namespace chivebeam
