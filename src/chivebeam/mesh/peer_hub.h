#pragma once

#include <map>

#include "mesh/peer_link.h"

namespace chivebeam {

/// The links of this node to all other nodes of the mesh. Runs on one
/// io_context; not thread safe.
class peer_hub {
public:
  /// \pre Context and PeerState outlive the hub.
  peer_hub(asio::io_context &Context, peer_state_listener &PeerState)
      : Context(Context), PeerState(PeerState), Protocol(PeerState) {}

  /// Sets the nodes to which links are kept. \pre the own node is not among
  /// them.
  void setPeers(const std::vector<home_record> &Records);
  /// Sends a call to a node; refuses it as not sent if the node is unknown.
  void call(const node_id &Node, mesh_call Call, const cancel_signal &Cancel,
            peer_link::reply Reply);
  void broadcast(const peer_frame &Frame);
  void send(const node_id &Node, const peer_frame &Frame);
  void ping(const node_id &Node);
  /// Queries the records of a few nodes, round robin, since a node that is cut
  /// off from the store may lack updates.
  void queryNextPeers();
  peer_frame frame(frame_kind Kind) const { return Protocol.frame(Kind); }
  void broadcastMove(const service_move &Move) {
    broadcast(Protocol.moveFrame(Move));
  }
  void tick(instant Now);
  std::size_t openLinks() const;

private:
  asio::io_context &Context;
  peer_state_listener &PeerState;
  peer_protocol Protocol;
  std::map<node_id, std::shared_ptr<peer_link>> Links;
  std::size_t NextQueriedPeer = 0;
};

} // namespace chivebeam
