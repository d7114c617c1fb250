#pragma once

#include <unordered_map>

#include "mesh/home_runner.h"
#include "mesh/peer_protocol.h"

namespace chivebeam {

/// Serves a connection from another node: passes its calls to the home runner,
/// answers its other messages and tells whether the node is a subscriber. Calls
/// of a connection that breaks are cancelled. Runs on one io_context; not
/// thread safe.
class peer_session : public std::enable_shared_from_this<peer_session> {
public:
  /// \pre Home and PeerState outlive the session.
  peer_session(tcp::socket Socket, home_runner &Home,
               peer_state_listener &PeerState);

  /// Starts serving; the session lives until the connection ends.
  void start();
  bool isOpen() const { return Channel->isOpen(); }
  /// True if the other node wants all changes of records and moves.
  bool isSubscriber() const { return Subscribed && Channel->isOpen(); }
  /// The other node; empty until its first message arrives.
  const node_id &peer() const { return Peer; }
  const failure_domain &peerDomain() const { return PeerDomain; }
  void send(const peer_frame &Frame) { Channel->send(Frame); }
  /// True while the session has calls or frames that are not sent completely.
  bool isBusy() const {
    return Channel->isOpen() &&
           (!Calls.empty() || !Offers.empty() || Channel->isSending());
  }
  /// Closes the connection if nothing has arrived on it for a long time: the
  /// other node closes an idle link much sooner if it lives.
  void closeIfDead(instant Now);

private:
  void onFrame(peer_frame Frame);
  void runCall(std::uint64_t Number, mesh_call Call);
  void handleOffer(std::uint64_t Number, mesh_call Call);
  void handleBody(peer_frame Frame);
  void cancel(std::uint64_t Number);
  void answer(std::uint64_t Number, mesh_answer Answer);
  void onClosed();

  home_runner &Home;
  peer_protocol Protocol;
  std::shared_ptr<frame_channel> Channel;
  std::unordered_map<std::uint64_t, cancel_signal> Calls;
  /// A call whose body has not arrived yet.
  struct offered_call {
    mesh_call Call;
    call_number Offer;
  };
  std::unordered_map<std::uint64_t, offered_call> Offers;
  node_id Peer; ///< empty until its hello message arrives
  failure_domain PeerDomain;
  bool Subscribed = false;
  peer_state_listener &PeerState;
};

} // namespace chivebeam
