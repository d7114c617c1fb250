#include "config/join_barrier.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Number of peers that must report their numbers before the store's answer is
/// accepted without further waiting.
constexpr std::size_t MinPeers = 3;
/// How long to wait for these peers after the store has answered.
constexpr milliseconds PeerGraceAfterStore{1'000};
/// How long to collect the peers' numbers after the first one, while the store
/// gives no usable answer.
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

std::optional<config_number> join_barrier::floor(config_number RefusedNumber,
                                                 instant Now) const {
  bool StoreUsable = StoreNumber && (RefusedNumber == config_number() ||
                                     *StoreNumber != RefusedNumber);
  if (StoreUsable && (ReportedPeers.size() >= std::min(MinPeers, KnownPeers) ||
                      Now >= StoreAnsweredAt + PeerGraceAfterStore))
    return std::max(*StoreNumber, HighestPeerNumber);
  if (!StoreUsable && FirstPeerAt &&
      Now >= *FirstPeerAt + PeerGraceWithoutStore)
    return HighestPeerNumber;
  return std::nullopt;
}

} // namespace chivebeam
