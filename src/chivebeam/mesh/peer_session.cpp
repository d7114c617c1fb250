#include "mesh/peer_session.h"

namespace chivebeam {

namespace {

/// Longer than an idle link stays open, and than calls run.
constexpr seconds DeadSessionTime{60};

} // namespace

peer_session::peer_session(tcp::socket Socket, home_runner &HomeRunner,
                           peer_state_listener &PeerStateListener)
    : Home(HomeRunner), Protocol(PeerStateListener),
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
  if (Protocol.handle(Frame, Peer, *Channel))
    return;
  if (Frame.Kind == frame_kind::subscribe) {
    Subscribed = true;
    return Protocol.sendState(Frame, *Channel);
  }
  if (Frame.Kind == frame_kind::call && Frame.Request->OfferedBytes > 0)
    handleOffer(Frame.Call, std::move(*Frame.Request));
  else if (Frame.Kind == frame_kind::call)
    runCall(Frame.Call, std::move(*Frame.Request));
  else if (Frame.Kind == frame_kind::body)
    handleBody(std::move(Frame));
  else if (Frame.Kind == frame_kind::cancel)
    cancel(Frame.Call);
}

void peer_session::handleOffer(std::uint64_t Number, mesh_call Call) {
  offered_call &Offered = Offers[Number];
  Offered.Call = std::move(Call);
  std::weak_ptr<peer_session> Weak = weak_from_this();
  call_number Offer = Home.offerBody(
      Offered.Call, [Weak, Number](std::optional<mesh_answer> Refused) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (Refused) {
          Self->Offers.erase(Number);
          return Self->answer(Number, std::move(*Refused));
        }
        peer_frame BodyRequest = Self->Protocol.frame(frame_kind::body_request);
        BodyRequest.Call = Number;
        Self->Channel->send(BodyRequest);
      });
  if (auto Found = Offers.find(Number); Found != Offers.end())
    Found->second.Offer = Offer;
}

void peer_session::handleBody(peer_frame Frame) {
  auto Found = Offers.extract(Frame.Call);
  if (Found.empty())
    return; // refused or cancelled in the meantime
  mesh_call Call = std::move(Found.mapped().Call);
  Call.Body = std::move(Frame.Body);
  Call.OfferedBytes = 0;
  Home.bodyEnded(Found.mapped().Offer);
  runCall(Frame.Call, std::move(Call));
}

void peer_session::cancel(std::uint64_t Number) {
  if (auto Offered = Offers.extract(Number); !Offered.empty())
    Home.bodyEnded(Offered.mapped().Offer);
  else if (auto Found = Calls.find(Number); Found != Calls.end())
    Found->second.raise();
}

void peer_session::answer(std::uint64_t Number, mesh_answer Answer) {
  peer_frame Reply = Protocol.frame(frame_kind::answer);
  Reply.Call = Number;
  Reply.Answer = std::move(Answer);
  Channel->send(Reply);
}

void peer_session::runCall(std::uint64_t Number, mesh_call Call) {
  cancel_signal Cancel;
  Calls[Number] = Cancel;
  Home.run(std::move(Call), Cancel,
           [Self = shared_from_this(), Number](mesh_answer Answer) {
             Self->Calls.erase(Number);
             Self->answer(Number, std::move(Answer));
           });
}

void peer_session::closeIfDead(instant Now) {
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
