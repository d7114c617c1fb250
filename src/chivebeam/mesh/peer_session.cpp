#include "mesh/peer_session.h"

namespace chivebeam {

peer_session::peer_session(tcp::socket Socket, home_runner &HomeRunner,
                           peer_words &PeerWords)
    : Home(HomeRunner), Exchange(PeerWords),
      Channel(std::make_shared<frame_channel>(std::move(Socket))),
      Words(PeerWords) {}

void peer_session::start() {
  std::shared_ptr<peer_session> Self = shared_from_this();
  Channel->start([Self](peer_frame Frame) { Self->onFrame(std::move(Frame)); },
                 [Self] { Self->onClosed(); });
  Exchange.greet(*Channel);
}

void peer_session::onFrame(peer_frame Frame) {
  if (Frame.Kind == frame_kind::hello && !Frame.Records.empty())
    Peer = Frame.Records.front().Node;
  if (!Peer.empty())
    Words.heardFrom(Peer);
  if (Exchange.take(Frame, *Channel))
    return;
  if (Frame.Kind == frame_kind::call) {
    runCall(std::move(Frame));
  } else if (Frame.Kind == frame_kind::cancel) {
    if (auto Found = Calls.find(Frame.Call); Found != Calls.end())
      Found->second.raise();
  }
}

void peer_session::runCall(peer_frame Frame) {
  std::uint64_t Number = Frame.Call;
  cancel_signal Cancel;
  Calls[Number] = Cancel;
  Home.run(std::move(*Frame.Request), Cancel,
           [Self = shared_from_this(), Number](mesh_answer Answer) {
             Self->Calls.erase(Number);
             peer_frame Reply = Self->Exchange.frame(frame_kind::answer);
             Reply.Call = Number;
             Reply.Answer = std::move(Answer);
             Self->Channel->send(Reply);
           });
}

void peer_session::onClosed() {
  for (auto &[Number, Cancel] : std::exchange(Calls, {}))
    Cancel.raise();
}

} // namespace chivebeam
