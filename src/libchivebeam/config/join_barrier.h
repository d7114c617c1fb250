#pragma once

#include <algorithm>
#include <optional>
#include <set>

#include "base/address.h"
#include "base/units.h"

namespace chivebeam {

/// Determines the configuration number that a starting node must reach before
/// it serves calls, so that it never serves an older configuration than the
/// fleet's. The store's answer is combined with the numbers of the first peers,
/// because a store that was restored from an old backup returns an old number.
/// While the store is down, the highest number that peers report within a grace
/// period is used. Not thread safe.
class join_barrier {
public:
  /// Records the store's newest number, or zero if the store has no
  /// configuration.
  void storeAnswered(config_number Newest, instant Now);
  /// Records how many peers the store lists.
  void contactsFound(std::size_t Count) {
    KnownPeers = std::max(KnownPeers, Count);
  }
  /// Records the number that a peer holds. A peer without a configuration
  /// (zero) is ignored.
  void peerSeen(const address &Peer, config_number Newest, instant Now);

  /// Returns the number that must be in force before the node serves calls, or
  /// nothing if it is not yet known. If this node refused the configuration
  /// with the store's number, only the peers' numbers are used.
  std::optional<config_number> floor(config_number RefusedNumber,
                                     instant Now) const;

private:
  std::optional<config_number> StoreNumber;
  instant StoreAnsweredAt;
  std::size_t KnownPeers = 0;
  std::set<address> ReportedPeers; ///< the first few distinct peers
  config_number HighestPeerNumber;
  std::optional<instant> FirstPeerAt;
};

} // namespace chivebeam
