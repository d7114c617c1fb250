#include "mesh/peer_session.h"

namespace chivebeam {

namespace {

/// Longer than an idle link stays open, and than calls run.
constexpr seconds DeadSessionTime{60};

mesh_answer answerWithoutMemory() {
  return emptyAnswer(attempt_outcome::lost,
                     "no memory for the answer to wait in");
}

} // namespace

peer_session::peer_session(tcp::socket Socket, home_runner &HomeRunner,
                           body_memory &BodyMemory,
                           peer_state_listener &PeerStateListener)
    : Home(HomeRunner), Memory(BodyMemory), Protocol(PeerStateListener),
      Channel(std::make_shared<frame_channel>(std::move(Socket))),
      PeerState(PeerStateListener) {}

void peer_session::start() {
  std::shared_ptr<peer_session> Self = shared_from_this();
  Channel->start([Self](peer_frame Frame) { Self->onFrame(std::move(Frame)); },
                 [Self] { Self->onClosed(); });
  Protocol.sendHello(*Channel);
}

void peer_session::onFrame(peer_frame Frame) {
  if (Frame.Kind == frame_kind::hello && !Frame.Records.empty()) {
    Peer = Frame.Records.front().Node;
    PeerDomain = Frame.Records.front().Domain;
  }
  if (!Peer.empty())
    PeerState.nodeAnswered(Peer);
  // A part has none of the other fields of a frame.
  if (Frame.Kind == frame_kind::body_part)
    return handleBodyPart(Frame);
  if (Protocol.handle(Frame, Peer, *Channel))
    return;
  if (Frame.Kind == frame_kind::subscribe) {
    Subscribed = true;
    return Protocol.sendState(Frame, *Channel);
  }
  call_origin Origin{Frame.Call, Frame.AcceptsParts};
  if (Frame.Kind == frame_kind::call && Frame.Request->OfferedBytes > 0)
    handleOffer(Origin, std::move(*Frame.Request));
  else if (Frame.Kind == frame_kind::call)
    runCall(Origin, std::move(*Frame.Request), std::nullopt);
  else if (Frame.Kind == frame_kind::body)
    handleBody(Frame.Call, std::move(Frame.Body));
  else if (Frame.Kind == frame_kind::cancel)
    cancel(Frame.Call);
}

void peer_session::handleOffer(call_origin Origin, mesh_call Call) {
  std::uint64_t Number = Origin.Number;
  std::optional<body_reservation> Reserved =
      Memory.Requests.reserve(Call.OfferedBytes);
  if (!Reserved) {
    // Without a retry time, since this node has capacity for smaller bodies.
    mesh_answer Refused =
        emptyAnswer(attempt_outcome::not_sent, "no memory for the body");
    Refused.Load = Home.load();
    return answer(Origin, std::move(Refused));
  }
  offered_call &Offered = Offers[Number];
  Offered.Call = std::move(Call);
  Offered.Origin = Origin;
  Offered.Memory = std::move(Reserved);
  std::weak_ptr<peer_session> Weak = weak_from_this();
  call_number Offer = Home.offerBody(
      Offered.Call, [Weak, Origin](std::optional<mesh_answer> Refused) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (Refused) {
          Self->Offers.erase(Origin.Number);
          return Self->answer(Origin, std::move(*Refused));
        }
        peer_frame BodyRequest = Self->Protocol.frame(frame_kind::body_request);
        BodyRequest.Call = Origin.Number;
        BodyRequest.AcceptsParts = true;
        Self->Channel->send(BodyRequest);
      });
  if (auto Found = Offers.find(Number); Found != Offers.end())
    Found->second.Offer = Offer;
}

void peer_session::handleBody(std::uint64_t Number, shared_body Body) {
  auto Found = Offers.extract(Number);
  if (Found.empty())
    return; // refused or cancelled in the meantime
  offered_call Offered = std::move(Found.mapped());
  Offered.Call.Body = std::move(Body);
  Offered.Call.OfferedBytes = 0;
  Home.bodyEnded(Offered.Offer);
  runCall(Offered.Origin, std::move(Offered.Call), std::move(Offered.Memory));
}

void peer_session::handleBodyPart(const peer_frame &Frame) {
  auto Found = Offers.find(Frame.Call);
  if (Found == Offers.end())
    return; // refused or cancelled in the meantime
  offered_call &Offered = Found->second;
  if (!Home.acceptsCall(Offered.Call))
    return refuseOffer(Frame.Call, "the backend server takes no more calls");
  std::uint64_t Missing = Offered.Call.OfferedBytes - Offered.Body.size();
  if (Frame.Body->size() > Missing)
    return refuseOffer(Frame.Call, "the body is longer than announced");
  if (Offered.Body.empty())
    Offered.Body.reserve(Offered.Call.OfferedBytes);
  Offered.Body += *Frame.Body;
  if (Frame.Body->size() == Missing)
    handleBody(Frame.Call,
               std::make_shared<const std::string>(std::move(Offered.Body)));
}

void peer_session::refuseOffer(std::uint64_t Number, std::string Reason) {
  auto Found = Offers.extract(Number);
  Home.bodyEnded(Found.mapped().Offer);
  answer(Found.mapped().Origin,
         Home.refusal(microseconds(0), std::move(Reason)));
}

void peer_session::cancel(std::uint64_t Number) {
  Channel->cancelBody(Number);
  if (auto Offered = Offers.extract(Number); !Offered.empty())
    Home.bodyEnded(Offered.mapped().Offer);
  else if (auto Found = Calls.find(Number); Found != Calls.end())
    Found->second.raise();
}

void peer_session::answer(call_origin Origin, mesh_answer Answer) {
  std::size_t Size = Answer.Body ? Answer.Body->size() : 0;
  if (Origin.AcceptsParts && Size > LargeBodyBytes)
    return answerInParts(Origin.Number, std::move(Answer));
  if (Size > 0 && Channel->isCongested())
    Answer = answerWithoutMemory();
  peer_frame Reply = Protocol.frame(frame_kind::answer);
  Reply.Call = Origin.Number;
  Reply.Answer = std::move(Answer);
  Channel->send(Reply);
}

void peer_session::answerInParts(std::uint64_t Number, mesh_answer Answer) {
  shared_body Body = std::exchange(Answer.Body, nullptr);
  peer_frame Reply = Protocol.frame(frame_kind::answer);
  Reply.Call = Number;
  Reply.PartedBytes = Body ? Body->size() : 0;
  Reply.Answer = std::move(Answer);
  Channel->send(Reply);
  if (!Body)
    return;
  Channel->sendBody(Number, std::move(Body), [] {});
}

void peer_session::runCall(call_origin Origin, mesh_call Call,
                           std::optional<body_reservation> Reserved) {
  cancel_signal Cancel;
  Calls[Origin.Number] = Cancel;
  auto Held =
      std::make_shared<std::optional<body_reservation>>(std::move(Reserved));
  Home.run(std::move(Call), Cancel,
           [Self = shared_from_this(), Origin, Held](mesh_answer Answer) {
             Held->reset();
             Self->Calls.erase(Origin.Number);
             Self->answer(Origin, std::move(Answer));
           });
}

void peer_session::closeIfDead(instant Now) {
  Channel->closeIfStuck(Now);
  if (Now >= Channel->lastReceived() + DeadSessionTime && Calls.empty())
    Channel->close();
}

void peer_session::onClosed() {
  if (!Peer.empty())
    PeerState.connectionEnded(Peer);
  for (auto &[Number, Offered] : std::exchange(Offers, {}))
    Home.bodyEnded(Offered.Offer);
  for (auto &[Number, Cancel] : std::exchange(Calls, {}))
    Cancel.raise();
}

} // namespace chivebeam
