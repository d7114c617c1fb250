#pragma once

#include <map>
#include <set>

#include "mesh/peer_link.h"
#include "mesh/peer_session.h"

namespace chivebeam {

/// The connections of this node with other nodes of the mesh: links that it
/// opened, on demand, and sessions that others opened. Runs on one io_context;
/// not thread safe.
class peer_hub {
public:
  /// \pre Context, PeerState and Answers outlive the hub.
  peer_hub(asio::io_context &Context, peer_state_listener &PeerState,
           body_budget &Answers)
      : Context(Context), PeerState(PeerState), Answers(Answers),
        Protocol(PeerState) {}

  /// Sets the nodes that can be reached. A link with open calls stays until
  /// they end: a node whose record is gone may still run them. \pre the own
  /// node is not among them.
  void setPeers(const std::vector<home_record> &Records);
  /// Adds a connection that another node has opened.
  void addSession(const std::shared_ptr<peer_session> &Session);
  /// Sets the nodes to whose state this node subscribes.
  void subscribeTo(const std::set<node_id> &Nodes);

  /// Sends a call to a node; refuses it as not sent if the node is unknown.
  void call(const node_id &Node, mesh_call Call, const cancel_signal &Cancel,
            peer_link::reply Reply);
  /// Sends a frame if the link to the node is open. Otherwise the frame is
  /// dropped and the link is opened for the next one.
  void send(const node_id &Node, const peer_frame &Frame);
  /// Sends a frame over an open connection with the node, whichever node opened
  /// it. Returns false if there is none; a link is opened for the next frame.
  bool sendIfOpen(const node_id &Node, const peer_frame &Frame);
  /// Sends a frame to all subscribers and to the nodes to which this node
  /// subscribes, except to the node Skipped.
  void broadcast(const peer_frame &Frame, const node_id &Skipped = node_id());
  /// Passes records that the node From sent on to subscribers.
  void relay(const std::vector<home_record> &Records, const node_id &From,
             const failure_domain &OwnDomain);
  void ping(const node_id &Node);
  /// Pings a few nodes with open links, round robin. Their answers show whether
  /// they hold a newer configuration or other records.
  void pingNextPeers();
  peer_frame frame(frame_kind Kind) const { return Protocol.frame(Kind); }
  /// Returns a frame that carries only the status of this node.
  peer_frame statusFrame() const { return frame(frame_kind::records); }
  void broadcastMove(const service_move &Move,
                     const node_id &Skipped = node_id()) {
    broadcast(Protocol.moveFrame(Move), Skipped);
  }
  void tick(instant Now);
  bool hasOpenLink(const node_id &Node) const {
    auto Found = Links.find(Node);
    return Found != Links.end() && Found->second->isOpen();
  }
  std::size_t openLinks() const;
  std::size_t subscribers() const;
  /// True while a connection that another node opened has calls or frames that
  /// are not sent completely.
  bool isServing() const;

private:
  /// A link that another one to the same node has replaced. It stays while
  /// calls wait for answers on it.
  struct replaced_link {
    node_id Node;
    std::shared_ptr<peer_link> Link;
  };

  /// Opens another connection beside each one that may have gone silent for
  /// good. New calls use it, and once the node has been heard on it, reads that
  /// wait on the silent one may be sent again.
  void replaceSuspectLinks(instant Now);
  void checkReplacedLinks(instant Now);
  /// Returns the link to a node, which is created if there is none; null if the
  /// node is unknown.
  peer_link *linkTo(const node_id &Node);
  std::vector<std::shared_ptr<peer_session>> openSubscribers() const;
  /// Sends a frame over the newest open connection with the node, whichever
  /// node opened it; opens a link if there is none.
  void sendOverAny(const node_id &Node, const peer_frame &Frame) {
    sendIfOpen(Node, Frame);
  }

  asio::io_context &Context;
  peer_state_listener &PeerState;
  body_budget &Answers; ///< of other nodes
  peer_protocol Protocol;
  std::map<node_id, address> Addresses;
  std::map<node_id, std::shared_ptr<peer_link>> Links;
  std::vector<replaced_link> Replaced;
  std::set<node_id> SubscribedTo;
  std::vector<std::weak_ptr<peer_session>> Sessions;
  std::size_t NextPingedPeer = 0;
};

} // namespace chivebeam
