#pragma once

#include "mesh/frame_channel.h"
#include "mesh/peer_state_listener.h"

namespace chivebeam {

/// Speaks the words that both ends of a channel understand, whoever opened it.
/// Not thread safe.
class peer_protocol {
public:
  /// \pre Words outlives the exchange.
  explicit peer_protocol(peer_state_listener &PeerState)
      : PeerState(PeerState) {}

  /// Starts a frame of the kind.
  peer_frame frame(frame_kind Kind) const;
  /// Returns a frame that says how the move stands.
  peer_frame moveFrame(const service_move &Move) const;
  /// Tells the other side who this node is.
  void sendHello(frame_channel &Channel) const;
  /// Takes in a word and answers it. Returns false for calls, answers and
  /// cancellations, which are left to the channel's owner.
  bool handle(const peer_frame &Frame, frame_channel &Channel);

private:
  void applyConfig(const peer_frame &Frame);

  peer_state_listener &PeerState;
};

} // namespace chivebeam
