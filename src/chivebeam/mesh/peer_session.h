#pragma once

#include <unordered_map>

#include "mesh/home_runner.h"
#include "mesh/peer_protocol.h"

namespace chivebeam {

/// Serves a connection from another node: passes its calls to the home runner
/// and answers its other messages. Calls of a connection that breaks are
/// cancelled. Runs on one io_context; not thread safe.
class peer_session : public std::enable_shared_from_this<peer_session> {
public:
  /// \pre Home and PeerState outlive the session.
  peer_session(tcp::socket Socket, home_runner &Home,
               peer_state_listener &PeerState);

  /// Starts serving; the session lives until the connection ends.
  void start();

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
  node_id Peer; ///< the other node; empty until its hello message arrives
  peer_state_listener &PeerState;
};

} // namespace chivebeam
