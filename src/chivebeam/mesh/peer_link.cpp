#include "mesh/peer_link.h"

#include "net/clock.h"
#include "routing/body_admission.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// Many round trips between failure domains, but short enough that a
/// retransmission of a lost SYN is not waited for.
constexpr milliseconds ConnectTimeout{400};
/// Longest time that calls wait for a link that is being opened. After it they
/// go to another home node.
constexpr milliseconds MaxOpenWait{100};
constexpr microseconds MinBackoff = milliseconds(100);
constexpr microseconds MaxBackoff = milliseconds(800);
/// While calls are open, a peer that was silent for PingAfter is sent a ping,
/// and it is disconnected if nothing arrives from it within SilenceLimit. A
/// busy node may answer late: its processor may be unavailable for a tenth of a
/// second.
constexpr milliseconds PingAfter{150};
constexpr milliseconds SilenceLimit{600};
constexpr milliseconds SendingLimit{2'000};
/// A connection may have gone silent for good after a ping had no answer for
/// this time. It is tried with another one, at most once in MinOpenTime.
constexpr milliseconds SuspectAfter{150};
constexpr milliseconds MinOpenTime{1'000};
/// Interval of pings on a kept link. They carry the digest of the records.
constexpr milliseconds KeptPingInterval{1'000};
/// A link that is not kept is closed after this time without use, and a failed
/// one is no longer reopened.
constexpr milliseconds MaxIdleTime{15'000};

} // namespace

peer_link::peer_link(asio::io_context &IoContext, node_id PeerNode,
                     address PeerAddress,
                     peer_state_listener &PeerStateListener,
                     body_budget &AnswerBudget)
    : Context(IoContext), Node(std::move(PeerNode)),
      Peer(std::move(PeerAddress)), PeerState(PeerStateListener),
      Answers(AnswerBudget), Protocol(PeerStateListener) {}

void peer_link::open() {
  if (Opening || Closed || isOpen())
    return;
  Opening = true;
  OpeningSince = currentTime();
  asio::co_spawn(Context, connect(), asio::detached);
}

awaitable<void> peer_link::connect() {
  std::shared_ptr<peer_link> Self = shared_from_this();
  auto Socket = std::make_shared<tcp::socket>(Context);
  asio::steady_timer Timer(Context, ConnectTimeout);
  Timer.async_wait([Socket](error_code Code) {
    error_code Ignored;
    if (!Code)
      Socket->close(Ignored);
  });
  error_code Code;
  co_await Socket->async_connect(toTcp(Peer), orError(Code));
  bool InTime = Timer.cancel() > 0;
  Opening = false;
  if (Closed)
    co_return;
  if (Code || !InTime) {
    Failed = true;
    Backoff = std::clamp(Backoff * 2, MinBackoff, MaxBackoff);
    RetryAt = currentTime() + Backoff;
    failPending("the home node can't be reached");
    co_return;
  }
  log_event("peer_link_open").add("peer", Node).add("address", Peer.text());
  Backoff = microseconds(0);
  Failed = false;
  PingPending = false;
  OpenedAt = currentTime();
  configurePeerSocket(*Socket);
  Channel = std::make_shared<frame_channel>(std::move(*Socket));
  std::weak_ptr<peer_link> Weak = Self;
  Channel->start(
      [Weak](peer_frame Frame) {
        if (auto Link = Weak.lock())
          Link->onFrame(std::move(Frame));
      },
      [Weak] {
        if (auto Link = Weak.lock())
          Link->onClosed();
      });
  Protocol.sendHello(*Channel);
  if (Kept)
    subscribe();
  for (auto &[Number, Waiting] : Pending)
    sendCall(Number, Waiting);
}

void peer_link::subscribe() {
  Channel->send(Protocol.frame(frame_kind::subscribe));
}

void peer_link::setKept(bool IsKept) {
  if (IsKept && !Kept && isOpen())
    subscribe();
  Kept = IsKept;
  if (Kept && !isOpen() && currentTime() >= RetryAt)
    open();
}

bool peer_link::wantsReopening(instant Now) const {
  return Now >= RetryAt && (Kept || (Failed && Now < LastUsed + MaxIdleTime));
}

void peer_link::sendCall(std::uint64_t Number, pending_call &Waiting) {
  peer_frame Frame = Protocol.frame(frame_kind::call);
  Frame.Call = Number;
  Frame.AcceptsParts = true;
  shared_body Body = Waiting.Call.Body;
  Waiting.Idempotent = Waiting.Call.Idempotent;
  Waiting.BodyOffered = Body && Body->size() > LargeBodyBytes;
  Waiting.Sent = !Waiting.BodyOffered;
  Frame.Request = std::move(Waiting.Call);
  if (Waiting.BodyOffered) {
    Frame.Request->OfferedBytes = Body->size();
    Frame.Request->Body = nullptr;
    Waiting.Call.Body = std::move(Body);
  }
  Channel->send(Frame);
}

void peer_link::sendBody(const peer_frame &Request) {
  std::uint64_t Number = Request.Call;
  auto Found = Pending.find(Number);
  if (Found == Pending.end() || !Found->second.Call.Body)
    return; // cancelled in the meantime
  shared_body Body = std::move(Found->second.Call.Body);
  if (Request.AcceptsParts) {
    Channel->sendBody(Number, std::move(Body),
                      [Weak = weak_from_this(), Number] {
                        if (auto Link = Weak.lock())
                          Link->bodySent(Number);
                      });
    return;
  }
  peer_frame Frame = Protocol.frame(frame_kind::body);
  Frame.Call = Number;
  Frame.Body = std::move(Body);
  Found->second.Sent = true;
  Channel->send(Frame);
}

bool peer_link::mayOpenSoon(instant Now) const {
  if (isOpen())
    return !Silent;
  if (Closed)
    return false;
  return Opening ? Now < OpeningSince + MaxOpenWait : !Failed;
}

void peer_link::call(mesh_call Call, const cancel_signal &Cancel, reply Reply) {
  instant Now = currentTime();
  LastUsed = Now;
  bool IsCongested = Channel && Channel->isCongested();
  if (IsCongested || !mayOpenSoon(Now)) {
    mesh_answer Answer =
        emptyAnswer(attempt_outcome::not_sent,
                    IsCongested ? "too much waits to be sent to the home node"
                                : "the home node can't be reached");
    Answer.Unreachable = true;
    asio::post(Context, [Reply = std::move(Reply), Answer = std::move(Answer)] {
      Reply(Answer);
    });
    return;
  }
  std::uint64_t Number = ++NextCall;
  Cancel.onRaise([Weak = weak_from_this(), Number] {
    if (auto Link = Weak.lock())
      Link->cancel(Number);
  });
  pending_call &Waiting = Pending[Number];
  Waiting.Call = std::move(Call);
  Waiting.Reply = std::move(Reply);
  if (isOpen())
    sendCall(Number, Waiting);
  else
    open();
}

void peer_link::cancel(std::uint64_t Number) {
  auto Found = Pending.find(Number);
  if (Found == Pending.end())
    return;
  if (Found->second.Sent || Found->second.BodyOffered) {
    peer_frame Frame = Protocol.frame(frame_kind::cancel);
    Frame.Call = Number;
    send(Frame);
  }
  if (Channel)
    Channel->cancelBody(Number);
  Pending.erase(Found);
}

void peer_link::send(const peer_frame &Frame) {
  if (isOpen())
    Channel->send(Frame);
}

void peer_link::ping() {
  LastUsed = currentTime();
  if (!isOpen())
    return open();
  if (PingPending)
    return;
  PingPending = true;
  PingSentAt = LastUsed;
  Channel->send(Protocol.frame(frame_kind::ping));
}

void peer_link::onFrame(peer_frame Frame) {
  PingPending = false;
  Silent = false;
  HeardPeer = true;
  PeerState.nodeAnswered(Node);
  // A part has none of the other fields of a frame.
  if (Frame.Kind == frame_kind::body_part)
    return onAnswerPart(Frame);
  if (Protocol.handle(Frame, Node, *Channel))
    return;
  if (Frame.Kind == frame_kind::body_request)
    sendBody(Frame);
  else if (Frame.Kind == frame_kind::answer)
    onAnswer(std::move(Frame));
}

void peer_link::bodySent(std::uint64_t Number) {
  if (auto Found = Pending.find(Number); Found != Pending.end())
    Found->second.Sent = true;
}

void peer_link::onAnswer(peer_frame Frame) {
  auto Found = Pending.find(Frame.Call);
  if (Found == Pending.end())
    return; // cancelled earlier
  if (Frame.PartedBytes == 0)
    return complete(Frame.Call, std::move(*Frame.Answer));
  if (Frame.PartedBytes > MaxAnswerBytes)
    return complete(Frame.Call,
                    emptyAnswer(attempt_outcome::lost,
                                "the answer exceeds the size limit"));
  Found->second.Parted.emplace(parted_answer{
      std::move(*Frame.Answer), Frame.PartedBytes, {}, *Answers.reserve(0)});
}

void peer_link::onAnswerPart(const peer_frame &Frame) {
  auto Found = Pending.find(Frame.Call);
  if (Found == Pending.end() || !Found->second.Parted)
    return; // cancelled earlier
  parted_answer &Parted = *Found->second.Parted;
  std::uint64_t Bytes = Parted.Body.size() + Frame.Body->size();
  if (Bytes > Parted.Bytes)
    return loseAnswer(Frame.Call, "the answer is longer than announced");
  if (!Parted.Held.growTo(Bytes))
    return loseAnswer(Frame.Call, "no memory for the answer");
  // Memory that is not written to is not used yet.
  if (Parted.Body.empty())
    Parted.Body.reserve(Parted.Bytes);
  Parted.Body += *Frame.Body;
  if (Bytes < Parted.Bytes)
    return;
  mesh_answer Answer = std::move(Parted.Answer);
  Answer.Body =
      makeReservedBody(std::move(Parted.Body), std::move(Parted.Held));
  complete(Frame.Call, std::move(Answer));
}

void peer_link::loseAnswer(std::uint64_t Number, std::string Reason) {
  peer_frame Frame = Protocol.frame(frame_kind::cancel);
  Frame.Call = Number;
  send(Frame);
  complete(Number, emptyAnswer(attempt_outcome::lost, std::move(Reason)));
}

void peer_link::complete(std::uint64_t Number, mesh_answer Answer) {
  auto Found = Pending.find(Number);
  reply Reply = std::move(Found->second.Reply);
  Pending.erase(Found);
  // The home node may answer before it has the whole body.
  Channel->cancelBody(Number);
  Reply(std::move(Answer));
}

void peer_link::onClosed() {
  log_event("peer_link_lost")
      .add("peer", Node)
      .add("address", Peer.text())
      .add("open_calls", Pending.size());
  Channel.reset();
  Silent = false;
  Failed = !std::exchange(IdleClosed, false);
  PeerState.connectionEnded(Node);
  failPending("the connection to the home node broke");
}

void peer_link::failPending(std::string_view Reason) {
  auto Failed = std::move(Pending);
  Pending.clear();
  for (auto &[Number, Waiting] : Failed)
    fail(Waiting, Reason);
}

void peer_link::fail(pending_call &Waiting, std::string_view Reason) {
  mesh_answer Answer = emptyAnswer(Waiting.Sent ? attempt_outcome::lost
                                                : attempt_outcome::not_sent,
                                   std::string(Reason));
  Answer.Unreachable = true;
  Waiting.Reply(std::move(Answer));
}

void peer_link::handleSilence(instant Now) {
  if (!std::exchange(Silent, true))
    log_event("peer_silent")
        .add("peer", Node)
        .add("silent_ms", (Now - Channel->lastReceived()).count() / 1'000)
        .add("open_calls", Pending.size());
  std::vector<std::uint64_t> Unsent;
  std::vector<reply> Told;
  for (auto &[Number, Waiting] : Pending) {
    if (!Waiting.Sent)
      Unsent.push_back(Number);
    else if (Waiting.Idempotent &&
             !std::exchange(Waiting.SilenceReported, true))
      Told.push_back(Waiting.Reply);
  }
  for (std::uint64_t Number : Unsent) {
    pending_call Waiting = std::move(Pending.at(Number));
    cancel(Number);
    fail(Waiting, "the home node is silent");
  }
  for (const reply &Reply : Told) {
    mesh_answer Answer =
        emptyAnswer(attempt_outcome::lost, "the home node is silent");
    Answer.Unreachable = true;
    Answer.Silent = true;
    Reply(std::move(Answer));
  }
  if (!Pending.empty())
    return;
  RetryAt = Now + MinBackoff;
  Channel->close();
}

bool peer_link::isSuspect(instant Now) const {
  return isOpen() && hasOpenCalls() && PingPending && !Channel->isSending() &&
         Now >= PingSentAt + SuspectAfter && Now >= OpenedAt + MinOpenTime;
}

void peer_link::tick(instant Now) {
  if (!isOpen()) {
    if (Opening && !mayOpenSoon(Now))
      failPending("the home node does not accept the connection in time");
    if (wantsReopening(Now))
      open();
    else if (Now >= LastUsed + MaxIdleTime)
      Failed = false;
    return;
  }
  Channel->closeIfStuck(Now);
  if (!isOpen())
    return;
  // A ping that is still queued can't be answered: an upload may fill a slow
  // link.
  if (PingPending && Channel->isSending() && Now < PingSentAt + SendingLimit)
    return;
  if (PingPending && Now >= PingSentAt + SilenceLimit)
    return handleSilence(Now);
  bool PingDue = Kept && Now >= PingSentAt + KeptPingInterval;
  if (PingDue ||
      (!Pending.empty() && Now >= Channel->lastReceived() + PingAfter))
    return ping();
  if (!Kept && Pending.empty() && Now >= LastUsed + MaxIdleTime) {
    IdleClosed = true;
    Channel->close();
  }
}

void peer_link::close() {
  Closed = true;
  if (Channel)
    Channel->close();
  failPending("the home node has left the mesh or changed its address");
}

} // namespace chivebeam
