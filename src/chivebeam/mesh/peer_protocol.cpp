#include "mesh/peer_protocol.h"

#include "mesh/mesh_records.h"
#include "telemetry/log_event.h"
#include "wire/compressed_text.h"

namespace chivebeam {

namespace {

/// Larger than any value that the platform's store can hold.
constexpr std::size_t MaxConfigBytes = 64 << 20;

} // namespace

peer_frame peer_protocol::frame(frame_kind Kind) const {
  peer_frame Frame;
  Frame.Kind = Kind;
  Frame.Config = PeerState.configNumber();
  return Frame;
}

peer_frame peer_protocol::moveFrame(const service_move &Move) const {
  peer_frame Frame = frame(frame_kind::move);
  Frame.Body = std::make_shared<const std::string>(writeServiceMove(Move));
  return Frame;
}

void peer_protocol::sendHello(frame_channel &Channel) const {
  peer_frame Hello = frame(frame_kind::hello);
  Hello.Records.push_back(PeerState.ownRecord());
  Channel.send(Hello);
}

void peer_protocol::applyConfig(const peer_frame &Frame) {
  if (!Frame.Body)
    return;
  result<std::string> Text = decompressText(*Frame.Body, MaxConfigBytes);
  if (Text)
    PeerState.applyConfig(
        Frame.Config, std::make_shared<const std::string>(std::move(*Text)));
  else
    log_event("bad_config").add("error", Text.error().text());
}

bool peer_protocol::handle(const peer_frame &Frame, frame_channel &Channel) {
  if (PeerState.peerReportedConfig(Frame.Config))
    Channel.send(frame(frame_kind::config_query));
  switch (Frame.Kind) {
  case frame_kind::hello:
  case frame_kind::records:
    PeerState.applyRecords(Frame.Records);
    return true;
  case frame_kind::ping: {
    peer_frame Pong = frame(frame_kind::pong);
    Pong.Call = Frame.Call;
    Channel.send(Pong);
    return true;
  }
  case frame_kind::pong:
    return true;
  case frame_kind::config_query:
    if (PeerState.configNumber() > Frame.Config) {
      peer_frame Config = frame(frame_kind::config);
      Config.Body = PeerState.compressedConfig();
      Channel.send(Config);
    }
    return true;
  case frame_kind::config:
    applyConfig(Frame);
    return true;
  case frame_kind::records_query: {
    peer_frame Known = frame(frame_kind::records);
    Known.Records = PeerState.knownRecords();
    Channel.send(Known);
    for (const service_move &Move : PeerState.knownMoves())
      Channel.send(moveFrame(Move));
    return true;
  }
  case frame_kind::evidence:
    PeerState.handleEvidence(*Frame.Evidence);
    return true;
  case frame_kind::move:
    if (result<service_move> Move = readServiceMove(*Frame.Body))
      PeerState.applyMove(*Move);
    else
      log_event("bad_move").add("error", Move.error().text());
    return true;
  case frame_kind::call:
  case frame_kind::answer:
  case frame_kind::cancel:
  case frame_kind::body_request:
  case frame_kind::body:
    return false;
  }
  return false;
}

} // namespace chivebeam
