#pragma once

#include <map>
#include <optional>
#include <set>

#include "base/names.h"
#include "base/units.h"

namespace chivebeam {

/// Decides when a node requests a newer configuration from a peer. Every frame
/// from a peer carries the number of the configuration that the peer holds.
/// Because a configuration can be hundreds of kilobytes in size, the node
/// requests it from one peer at a time, and only if the store has not delivered
/// it or the peer is known to hold the newest one. If that peer does not answer
/// in time or its connection ends, the next one is requested without waiting
/// for its next frame. Not thread safe.
class config_catch_up {
public:
  /// Time that the store has to deliver a new configuration before the node
  /// requests it from a peer.
  static constexpr milliseconds StoreWait{1'000};
  /// Time that the first peer has to answer before another one is asked. It
  /// doubles with each request, because the answer may only be delayed by a
  /// slow link.
  static constexpr milliseconds InitialAnswerTimeout{600};
  static constexpr milliseconds MaxAnswerTimeout{2'400};

  /// Sets whether the store is unreachable from this node. While it is, peers
  /// are asked without waiting for the store.
  void setCutOff(bool IsCutOff) { CutOff = IsCutOff; }
  /// Records that a peer holds the configuration PeerNumber while this node
  /// holds OwnNumber. Returns true if the node should request it from that peer
  /// now; with AskAtOnce it does not wait for the store. From is empty if the
  /// peer is not known.
  bool peerReported(config_number PeerNumber, config_number OwnNumber,
                    instant Now, bool AskAtOnce = false,
                    const node_id &From = node_id());
  /// Returns the peer from which the node, which holds OwnNumber, should
  /// request the configuration now. Called several times a second.
  std::optional<node_id> nextSource(config_number OwnNumber, instant Now);
  /// Records that a connection to the peer has ended: it does not answer a
  /// request on it.
  void connectionEnded(const node_id &Peer);
  /// Returns true if a peer holds a newer configuration than OwnNumber.
  bool isBehind(config_number OwnNumber) const {
    return NewestOfPeers > OwnNumber;
  }

private:
  /// A peer that holds a newer configuration.
  struct holder {
    config_number Number;
    bool AskAtOnce = false;
  };

  /// Starts the wait again if the own number has changed.
  void noteOwnNumber(config_number OwnNumber, instant Now);
  bool mayRequest(bool AskAtOnce, instant Now) const;
  void noteRequest(const node_id &Peer, instant Now);
  /// Returns a holder that may be asked now, preferably one that is known to
  /// hold the newest configuration; null if there is none. AskedBefore selects
  /// among those that were asked in this round, except the last one.
  const node_id *chooseHolder(bool AskedBefore, instant Now) const;

  config_number NewestOfPeers;       ///< highest number reported by a peer
  config_number OwnNumberWhenBehind; ///< at BehindSince
  instant BehindSince;               ///< zero: the node is up to date
  instant RequestedAt; ///< last request; zero: none since BehindSince
  milliseconds AnswerTimeout = InitialAnswerTimeout;
  node_id Requested; ///< peer of the last request; empty if not known
  std::map<node_id, holder> Holders;
  std::set<node_id> Asked; ///< holders that were asked in this round
  bool CutOff = false;
};

} // namespace chivebeam
