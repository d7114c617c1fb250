#pragma once

#include "base/random.h"
#include "base/token_bucket.h"

namespace chivebeam {

/// Kind of a store call. A watch counts as a read, the keep-alive of a lease as
/// a write.
enum class store_call { read, write };

/// Limits how often this node calls the platform's store, so that the whole
/// fleet stays below a fixed share of the rate that the store can handle. Each
/// node may use the fleet's rate divided by the number of nodes; until that
/// number is known, the largest expected fleet is assumed. Time and random seed
/// are passed in by the caller. Not thread safe.
class store_rate_limiter {
public:
  explicit store_rate_limiter(std::uint64_t Seed);

  /// Sets the number of live nodes, including this one.
  void setFleetSize(std::size_t Nodes, instant Now);
  /// Sets whether this node holds a watcher lease. A holder gets an additional
  /// rate for its keep-alives and reads, since the number of holders does not
  /// grow with the fleet.
  void setWatcherLeaseHeld(bool Holding, instant Now);
  /// Reserves one call and returns how long to wait before making it.
  microseconds reserve(store_call Call, instant Now);

  /// Returns the random delay before the first call of a starting node.
  microseconds firstDelay();
  /// Returns the time until the next poll. It grows with the fleet's size while
  /// the store answers, and with each consecutive failure otherwise.
  microseconds pollDelay();
  /// Returns true if this node should try to acquire one of the free watcher
  /// leases of its failure domain. The answer is random, so that only a few
  /// nodes try for each free lease.
  bool shouldTryWatcherLease(std::size_t FreeLeases, std::size_t DomainNodes);

  /// Records that the store answered a call.
  void recordSuccess() { ConsecutiveFailures = 0; }
  /// Records that a call failed.
  void recordFailure() { ++ConsecutiveFailures; }

private:
  /// Returns Base multiplied by a random factor in [0.5, 1.5).
  microseconds jittered(microseconds Base);
  void updateRates(instant Now);

  random_source Random;
  token_bucket Reads;
  token_bucket Writes;
  std::size_t Nodes = 0; ///< live nodes; zero: not known yet
  bool HoldsWatcherLease = false;
  unsigned ConsecutiveFailures = 0;
};

} // namespace chivebeam
