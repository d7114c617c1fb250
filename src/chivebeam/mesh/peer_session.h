#pragma once

#include <unordered_map>

#include "mesh/home_runner.h"
#include "mesh/word_exchange.h"

namespace chivebeam {

/// Serves one connection from another node: lets the home runner run its
/// calls and answers its words. Calls of a connection that breaks are
/// cancelled. Runs on one io_context; not thread safe.
class peer_session : public std::enable_shared_from_this<peer_session> {
public:
  /// \pre Home and Words outlive the session.
  peer_session(tcp::socket Socket, home_runner &Home, peer_words &PeerState);

  /// Begins to serve; the session lives until the connection ends.
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
  word_exchange Protocol;
  std::shared_ptr<frame_channel> Channel;
  std::unordered_map<std::uint64_t, cancel_signal> Calls;
  /// Calls whose bodies are not here yet.
  struct offered_call {
    mesh_call Call;
    call_number Offer;
  };
  std::unordered_map<std::uint64_t, offered_call> Offers;
  node_id Peer; ///< who is at the other end, once it has greeted
  peer_words &PeerState;
};

} // namespace chivebeam
