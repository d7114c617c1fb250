#pragma once

#include <functional>
#include <unordered_map>

#include "mesh/body_budget.h"
#include "mesh/cancel_signal.h"
#include "mesh/peer_protocol.h"

namespace chivebeam {

/// This node's connection to another node. It is opened for the first call and
/// closed after it carried none for a while, unless it is kept. After a failure
/// it is reopened in the background, so that calls need not wait for a node
/// that can't be reached. Calls wait while the connection is being opened. A
/// silent peer gets no new calls; it is disconnected unless calls wait for its
/// answers. Runs on one io_context; not thread safe.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
  using reply = std::function<void(mesh_answer)>;

  /// \pre Context, PeerState and Answers outlive the link. Answers holds the
  /// bodies of answers that arrive in parts.
  peer_link(asio::io_context &Context, node_id Node, address Peer,
            peer_state_listener &PeerState, body_budget &Answers);

  const address &peer() const { return Peer; }
  /// Sends a call; Reply is called once, unless Cancel is raised first. While
  /// the home node is silent, Reply is called for an idempotent call with an
  /// answer that says so, and a second time if the home node still answers.
  void call(mesh_call Call, const cancel_signal &Cancel, reply Reply);
  /// Sends a frame if the link is open, and drops it otherwise.
  void send(const peer_frame &Frame);
  /// Sends a ping to the peer, unless one is unanswered; opens the link if it
  /// is not open.
  void ping();
  bool isOpen() const { return Channel && Channel->isOpen(); }
  /// True while calls wait for their answers.
  bool hasOpenCalls() const { return !Pending.empty(); }
  /// True if calls wait and the connection may have gone silent for good: a
  /// ping has no answer for a while. The node may also be slow or suspended.
  bool isSuspect(instant Now) const;
  /// True if the peer has sent something on this connection.
  bool hasHeardPeer() const { return HeardPeer; }
  /// Handles a peer that has not answered a ping in time. Calls that were not
  /// sent fail. The others wait on, since the peer may only be suspended, and
  /// the senders of idempotent ones are told. Without calls the link is closed.
  void handleSilence(instant Now);
  /// Keeps the link open and subscribed to the peer's state, or stops doing so.
  void setKept(bool IsKept);
  /// Reopens a lost link, detects a silent peer and closes an idle link. Must
  /// be called several times a second.
  void tick(instant Now);
  void close();

private:
  /// An answer whose body arrives in parts.
  struct parted_answer {
    mesh_answer Answer;
    std::uint64_t Bytes = 0; ///< of the whole body
    std::string Body;        ///< what has arrived
    body_reservation Held;   ///< for it
  };
  struct pending_call {
    mesh_call Call; ///< moved from once sent, except an offered body
    reply Reply;
    /// The home node may have the call and its whole body. Before, the call has
    /// certainly not run.
    bool Sent = false;
    std::optional<parted_answer> Parted;
    bool BodyOffered = false;
    bool Idempotent = false;
    bool SilenceReported = false;
  };

  void open();
  void subscribe();
  /// True if the link is to be reopened in the background.
  bool wantsReopening(instant Now) const;
  /// False if a call should go to another home node instead of waiting for
  /// the link.
  bool mayOpenSoon(instant Now) const;
  awaitable<void> connect();
  void onFrame(peer_frame Frame);
  void onClosed();
  void failPending(std::string_view Reason);
  void fail(pending_call &Waiting, std::string_view Reason);
  void sendCall(std::uint64_t Number, pending_call &Pending);
  void sendBody(const peer_frame &Request);
  /// Called when the last part of a call's body is about to be written.
  void bodySent(std::uint64_t Number);
  void onAnswer(peer_frame Frame);
  void onAnswerPart(const peer_frame &Frame);
  /// Ends a call whose answer can't be taken; the rest of it is not sent.
  void loseAnswer(std::uint64_t Number, std::string Reason);
  /// Ends a call with its answer.
  void complete(std::uint64_t Number, mesh_answer Answer);
  void cancel(std::uint64_t Number);

  asio::io_context &Context;
  node_id Node;
  address Peer;
  peer_state_listener &PeerState;
  body_budget &Answers;
  peer_protocol Protocol;
  std::shared_ptr<frame_channel> Channel;
  std::unordered_map<std::uint64_t, pending_call> Pending;
  std::uint64_t NextCall = 0;
  bool Opening = false;
  instant OpeningSince;
  bool Closed = false;
  instant RetryAt;
  microseconds Backoff{0};
  instant PingSentAt;
  bool PingPending = false;
  instant OpenedAt;
  bool HeardPeer = false;
  bool Kept = false;
  bool Failed =
      false; ///< the last attempt to open the link failed, or it broke
  bool Silent = false;     ///< no answer to the last ping in time
  bool IdleClosed = false; ///< closed because it was not used
  instant LastUsed;        ///< by a call or another message to the peer
};

} // namespace chivebeam
