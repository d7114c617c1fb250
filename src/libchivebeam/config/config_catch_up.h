#pragma once

#include "base/units.h"

namespace chivebeam {

/// Decides when a node asks a peer for a newer configuration. Every frame of
/// every peer names the number that its sender holds, and a configuration can
/// be hundreds of kilobytes: one peer is asked at a time, and only for what
/// the store has not brought by itself. Not thread safe.
class config_catch_up {
public:
  /// The store brings a configuration to every node by itself; a peer is asked
  /// for one that has not come by then.
  static constexpr milliseconds StoreWait{1'000};
  /// A peer may be silent, so another is asked after this time; each further
  /// time is twice as long, since a slow link may be what holds the text up.
  static constexpr milliseconds InitialAnswerTimeout{600};
  static constexpr milliseconds MaxAnswerTimeout{2'400};

  /// Notes whether the store answers this node; while it doesn't, peers are
  /// asked without patience.
  void setCutOff(bool IsCutOff) { CutOff = IsCutOff; }
  /// Notes that a peer holds Theirs while this node holds Own; returns whether
  /// to ask that peer for it.
  bool peerReported(config_number PeerNumber, config_number OwnNumber,
                    instant Now);
  /// Returns true if a configuration newer than Own is known to exist.
  bool isBehind(config_number OwnNumber) const {
    return NewestOfPeers > OwnNumber;
  }

private:
  config_number NewestOfPeers;       ///< that any peer holds
  config_number OwnNumberWhenBehind; ///< this node's own when it fell behind
  instant BehindSince;               ///< zero: it is not behind
  instant RequestedAt;               ///< zero: nobody was asked since
  milliseconds AnswerTimeout = InitialAnswerTimeout;
  bool CutOff = false;
};

} // namespace chivebeam
