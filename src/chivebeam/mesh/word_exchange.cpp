#include "mesh/word_exchange.h"

#include "mesh/mesh_records.h"
#include "telemetry/log_event.h"
#include "wire/compressed_text.h"

namespace chivebeam {

namespace {

/// Far beyond what one value of the platform's store can hold.
constexpr std::size_t MaxConfigBytes = 64 << 20;

} // namespace

peer_frame word_exchange::frame(frame_kind Kind) const {
  peer_frame Frame;
  Frame.Kind = Kind;
  Frame.Config = Words.configNumber();
  return Frame;
}

peer_frame word_exchange::moveFrame(const service_move &Move) const {
  peer_frame Frame = frame(frame_kind::move);
  Frame.Body = std::make_shared<const std::string>(writeServiceMove(Move));
  return Frame;
}

void word_exchange::greet(frame_channel &Channel) const {
  peer_frame Hello = frame(frame_kind::hello);
  Hello.Records.push_back(Words.ownRecord());
  Channel.send(Hello);
}

void word_exchange::takeConfig(const peer_frame &Frame) {
  if (!Frame.Body)
    return;
  result<std::string> Text = decompressText(*Frame.Body, MaxConfigBytes);
  if (Text)
    Words.takeConfig(Frame.Config,
                     std::make_shared<const std::string>(std::move(*Text)));
  else
    log_event("bad_config").add("error", Text.error().text());
}

bool word_exchange::take(const peer_frame &Frame, frame_channel &Channel) {
  if (Words.heardOfConfig(Frame.Config))
    Channel.send(frame(frame_kind::config_query));
  switch (Frame.Kind) {
  case frame_kind::hello:
  case frame_kind::records:
    Words.takeRecords(Frame.Records);
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
    if (Words.configNumber() > Frame.Config) {
      peer_frame Config = frame(frame_kind::config);
      Config.Body = Words.packedConfig();
      Channel.send(Config);
    }
    return true;
  case frame_kind::config:
    takeConfig(Frame);
    return true;
  case frame_kind::records_query: {
    peer_frame Known = frame(frame_kind::records);
    Known.Records = Words.knownRecords();
    Channel.send(Known);
    for (const service_move &Move : Words.knownMoves())
      Channel.send(moveFrame(Move));
    return true;
  }
  case frame_kind::evidence:
    Words.takeEvidence(*Frame.Evidence);
    return true;
  case frame_kind::move:
    if (result<service_move> Move = readServiceMove(*Frame.Body))
      Words.takeMove(*Move);
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
