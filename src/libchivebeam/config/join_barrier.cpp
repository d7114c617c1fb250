#include "config/join_barrier.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Peers whose numbers are enough to judge the store's answer.
constexpr std::size_t MinPeers = 3;
/// Time given to those peers once the store has answered.
constexpr milliseconds PeerGraceAfterStore{1'000};
/// Time given to peers to show their numbers when the store is down.
constexpr milliseconds PeerGraceWithoutStore{3'000};

} // namespace

void join_barrier::storeAnswered(config_number Newest, instant Now) {
  if (!StoreNumber)
    StoreAnsweredAt = Now;
  StoreNumber = std::max(StoreNumber.value_or(Newest), Newest);
}

void join_barrier::peerSeen(const address &Peer, config_number Newest,
                            instant Now) {
  if (Newest == config_number())
    return;
  if (!FirstPeerAt)
    FirstPeerAt = Now;
  if (ReportedPeers.size() < MinPeers)
    ReportedPeers.insert(Peer);
  HighestPeerNumber = std::max(HighestPeerNumber, Newest);
}

std::optional<config_number> join_barrier::floor(config_number Refused,
                                                 instant Now) const {
  bool StoreUsable =
      StoreNumber && (Refused == config_number() || *StoreNumber != Refused);
  if (StoreUsable && (ReportedPeers.size() >= std::min(MinPeers, KnownPeers) ||
                      Now >= StoreAnsweredAt + PeerGraceAfterStore))
    return std::max(*StoreNumber, HighestPeerNumber);
  if (!StoreUsable && FirstPeerAt &&
      Now >= *FirstPeerAt + PeerGraceWithoutStore)
    return HighestPeerNumber;
  return std::nullopt;
}

} // namespace chivebeam
