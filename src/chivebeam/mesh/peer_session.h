#pragma once

#include <unordered_map>

#include "mesh/body_budget.h"
#include "mesh/home_runner.h"
#include "mesh/peer_protocol.h"

namespace chivebeam {

/// Serves a connection from another node: passes its calls to the home runner,
/// answers its other messages and tells whether the node is a subscriber. Calls
/// of a connection that breaks are cancelled. Runs on one io_context; not
/// thread safe.
class peer_session : public std::enable_shared_from_this<peer_session> {
public:
  /// \pre Home, Memory and PeerState outlive the session.
  peer_session(tcp::socket Socket, home_runner &Home, body_memory &Memory,
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
  /// Closes the connection if nothing has arrived on it for a long time, or if
  /// the other node takes no bytes: it closes an idle link much sooner if it
  /// lives.
  void closeIfDead(instant Now);

private:
  /// How the other node takes the answer to a call.
  struct call_origin {
    std::uint64_t Number = 0;
    bool AcceptsParts = false;
  };
  /// A call whose body has not arrived yet.
  struct offered_call {
    mesh_call Call;
    call_origin Origin;
    call_number Offer;
    std::optional<body_reservation> Memory;
    std::string Body; ///< the parts that have arrived
  };

  void onFrame(peer_frame Frame);
  /// Runs a call. Memory is reserved for its body until it has ended.
  void runCall(call_origin Origin, mesh_call Call,
               std::optional<body_reservation> Memory);
  void handleOffer(call_origin Origin, mesh_call Call);
  /// Handles the whole body of an offered call.
  void handleBody(std::uint64_t Number, shared_body Body);
  void handleBodyPart(const peer_frame &Frame);
  /// Answers an offered call that is not run.
  void refuseOffer(std::uint64_t Number, std::string Reason);
  void cancel(std::uint64_t Number);
  void answer(call_origin Origin, mesh_answer Answer);
  void answerInParts(std::uint64_t Number, mesh_answer Answer);
  void onClosed();

  home_runner &Home;
  body_memory &Memory;
  peer_protocol Protocol;
  std::shared_ptr<frame_channel> Channel;
  std::unordered_map<std::uint64_t, cancel_signal> Calls;
  std::unordered_map<std::uint64_t, offered_call> Offers;
  node_id Peer; ///< empty until its hello message arrives
  failure_domain PeerDomain;
  bool Subscribed = false;
  peer_state_listener &PeerState;
};

} // namespace chivebeam
