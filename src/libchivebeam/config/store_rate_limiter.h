#pragma once

#include "base/random.h"
#include "base/token_bucket.h"

namespace chivebeam {

/// A call that changes the store, or one that does not. A watch counts as a
/// read, a lease's keep-alive as a write.
enum class store_call { read, write };

/// Decides how often this node may call the platform's store, so that the
/// whole fleet stays below a fixed share of the platform's rates: each node
/// has the fleet's share divided by the fleet's size. Until the size is known,
/// a full-grown fleet is assumed. Time and seed are given; not thread safe.
class store_rate_limiter {
public:
  explicit store_rate_limiter(std::uint64_t Seed);

  /// The number of nodes that are alive, this one included.
  void setFleetSize(std::size_t Nodes, instant Now);
  /// A seat holder has an allowance of its own for its lease and its reads;
  /// seats are few, whatever the size of the fleet.
  void setWatcherLeaseHeld(bool Holding, instant Now);
  /// Takes one call from the budget; returns how long to wait before it.
  microseconds reserve(store_call Call, instant Now);

  /// Returns the delay of the first call of a starting node.
  microseconds firstDelay();
  /// Returns the time until the next poll: it grows with the fleet's size
  /// while the store answers and with each failure in a row while not.
  microseconds pollDelay();
  /// Says whether to try for one of the free seats of this failure domain, so
  /// that about as many nodes try as there are seats.
  bool shouldTryWatcherLease(std::size_t FreeLeases, std::size_t DomainNodes);

  void recordSuccess() { ConsecutiveFailures = 0; }
  void recordFailure() { ++ConsecutiveFailures; }

private:
  microseconds jittered(microseconds Base);
  void updateRates(instant Now);

  random_source Random;
  token_bucket Reads;
  token_bucket Writes;
  std::size_t Nodes = 0; ///< zero: not known yet
  bool HoldsWatcherLease = false;
  unsigned ConsecutiveFailures = 0;
};

} // namespace chivebeam
