#pragma once

#include "mesh/frame_channel.h"
#include "mesh/peer_state_listener.h"

namespace chivebeam {

/// Handles the messages that are the same for both ends of a channel, whichever
/// node opened it. Not thread safe.
class peer_protocol {
public:
  /// \pre PeerState outlives the protocol.
  explicit peer_protocol(peer_state_listener &PeerState)
      : PeerState(PeerState) {}

  /// Creates a frame of this kind with this node's configuration number.
  peer_frame frame(frame_kind Kind) const;
  /// Returns a frame with the current state of the move.
  peer_frame moveFrame(const service_move &Move) const;
  /// Sends this node's record to the other node.
  void sendHello(frame_channel &Channel) const;
  /// Handles a message and answers it. Returns false for calls, answers,
  /// cancellations and bodies, which the owner of the channel handles.
  bool handle(const peer_frame &Frame, frame_channel &Channel);

private:
  void applyConfig(const peer_frame &Frame);

  peer_state_listener &PeerState;
};

} // namespace chivebeam
