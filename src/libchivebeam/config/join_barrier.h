#pragma once

#include <algorithm>
#include <optional>
#include <set>

#include "base/address.h"
#include "base/units.h"

namespace chivebeam {

/// Decides when a starting node knows enough to serve without falling back to
/// an older configuration than the fleet's. The store's answer counts together
/// with the numbers of the first peers, because a store restored from an old
/// copy answers with an old number. While the store is down, the highest number
/// among the peers that answered within a grace period is taken. Not thread
/// safe.
class join_barrier {
public:
  /// The store answered with the number of its head; zero if it has none.
  void storeAnswered(config_number Newest, instant Now);
  /// The store named so many peers that could be asked.
  void contactsFound(std::size_t Count) {
    KnownPeers = std::max(KnownPeers, Count);
  }
  /// A peer has shown its number. One that holds nothing yet does not count.
  void peerSeen(const address &Peer, config_number Newest, instant Now);

  /// Returns the number that must be in force before the first call, or
  /// nothing if it is not yet known. The store's number counts as unknown if
  /// this node refused that configuration; then the peers' numbers decide.
  std::optional<config_number> floor(config_number Refused, instant Now) const;

private:
  std::optional<config_number> StoreNumber;
  instant StoreAnsweredAt;
  std::size_t KnownPeers = 0;
  std::set<address>
      ReportedPeers; ///< a few distinct peers that showed a number
  config_number HighestPeerNumber;
  std::optional<instant> FirstPeerAt;
};

} // namespace chivebeam
