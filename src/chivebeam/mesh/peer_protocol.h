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

  /// Creates a frame of this kind with this node's status, and with its digest
  /// in pings and pongs.
  peer_frame frame(frame_kind Kind) const;
  /// Returns a frame with the current state of the move.
  peer_frame moveFrame(const service_move &Move) const;
  /// Sends this node's record to the other node.
  void sendHello(frame_channel &Channel) const;
  /// Sends what a new subscriber lacks.
  void sendState(const peer_frame &Subscription, frame_channel &Channel) const;
  /// Handles a message of the node From, which is empty if it is not known yet,
  /// and answers it. Returns false for calls, answers, cancellations, bodies
  /// and subscriptions, which the owner of the channel handles.
  bool handle(const peer_frame &Frame, const node_id &From,
              frame_channel &Channel);

private:
  void applyConfig(const peer_frame &Frame);
  /// Applies records and sends back the ones that the peer's table lacks.
  void applyRecords(const peer_frame &Frame, const node_id &From,
                    frame_channel &Channel);
  /// Sends the moves and the records that the sender of the request lacks.
  void sendRecords(const peer_frame &Request, frame_channel &Channel) const;
  void sendConfig(config_number Held, frame_channel &Channel) const;

  peer_state_listener &PeerState;
};

} // namespace chivebeam
