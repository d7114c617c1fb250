#include "mesh/peer_protocol.h"

#include "mesh/mesh_records.h"
#include "telemetry/log_event.h"
#include "wire/compressed_text.h"

namespace chivebeam {

namespace {

/// Larger than any value that the platform's store can hold.
constexpr std::size_t MaxConfigBytes = 64 << 20;

/// Calls and their answers are many and small, so their frames carry no more
/// than they need.
bool carriesEvacuations(frame_kind Kind) {
  switch (Kind) {
  case frame_kind::call:
  case frame_kind::answer:
  case frame_kind::cancel:
  case frame_kind::body_request:
  case frame_kind::body:
  case frame_kind::body_part:
    return false;
  default:
    return true;
  }
}

} // namespace

peer_frame peer_protocol::frame(frame_kind Kind) const {
  peer_status Status = PeerState.ownStatus();
  peer_frame Frame;
  Frame.Kind = Kind;
  Frame.Config = Status.Config;
  Frame.StoreAge = Status.StoreAge;
  Frame.Era = Status.Era;
  if (carriesEvacuations(Kind))
    Frame.Evacuations = PeerState.knownEvacuations();
  if (Kind == frame_kind::ping || Kind == frame_kind::pong)
    Frame.Digest = PeerState.digest();
  if (Kind == frame_kind::subscribe || Kind == frame_kind::records_query)
    Frame.Buckets = PeerState.buckets();
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

void peer_protocol::sendRecords(const peer_frame &Request,
                                frame_channel &Channel) const {
  // Moves precede the records, since no call may go to a new version before its
  // move is known.
  for (const service_move &Move : PeerState.knownMoves())
    Channel.send(moveFrame(Move));
  peer_frame Suspects = frame(frame_kind::records);
  Suspects.Suspects = PeerState.knownSuspects();
  if (!Suspects.Suspects.empty())
    Channel.send(Suspects);
  peer_frame Known = frame(frame_kind::records);
  Known.CoveredBuckets = differingBuckets(Request.Buckets, PeerState.buckets());
  if (Known.CoveredBuckets == 0)
    return;
  Known.Records = PeerState.recordsIn(Known.CoveredBuckets);
  Channel.send(Known);
}

void peer_protocol::sendConfig(config_number Held,
                               frame_channel &Channel) const {
  if (PeerState.ownStatus().Config <= Held)
    return;
  peer_frame Config = frame(frame_kind::config);
  Config.Body = PeerState.compressedConfig();
  Channel.send(Config);
}

void peer_protocol::sendState(const peer_frame &Subscription,
                              frame_channel &Channel) const {
  sendRecords(Subscription, Channel);
  sendConfig(Subscription.Config, Channel);
}

void peer_protocol::applyRecords(const peer_frame &Frame, const node_id &From,
                                 frame_channel &Channel) {
  if (Frame.SkippedRecords > 0)
    log_event("peer_records_skipped")
        .add("from", From)
        .add("records", Frame.SkippedRecords)
        .add("remedy", "restart the node with this version");
  PeerState.applyRecords(Frame.Records, From);
  if (!Frame.Suspects.empty())
    PeerState.applySuspects(Frame.Suspects, From);
  if (Frame.CoveredBuckets == 0)
    return;
  peer_frame Missing = frame(frame_kind::records);
  Missing.Records =
      PeerState.recordsMissingIn(Frame.Records, Frame.CoveredBuckets);
  if (!Missing.Records.empty())
    Channel.send(Missing);
}

bool peer_protocol::handle(const peer_frame &Frame, const node_id &From,
                           frame_channel &Channel) {
  // Applied before a configuration, with which a node begins to route calls.
  if (Frame.Evacuations)
    PeerState.applyEvacuations(*Frame.Evacuations, From);
  // Applied first, so that it is not requested once more.
  if (Frame.Kind == frame_kind::config)
    applyConfig(Frame);
  if (PeerState.peerReported(From, {Frame.Config, Frame.StoreAge, Frame.Era}))
    Channel.send(frame(frame_kind::config_query));
  switch (Frame.Kind) {
  case frame_kind::hello:
  case frame_kind::records:
    applyRecords(Frame, From, Channel);
    return true;
  case frame_kind::ping: {
    peer_frame Pong = frame(frame_kind::pong);
    Pong.Call = Frame.Call;
    Channel.send(Pong);
    return true;
  }
  case frame_kind::pong:
    if (PeerState.digestDiffers(From, Frame.Digest))
      Channel.send(frame(frame_kind::records_query));
    return true;
  case frame_kind::config_query:
    sendConfig(Frame.Config, Channel);
    return true;
  case frame_kind::config:
    return true;
  case frame_kind::records_query:
    sendRecords(Frame, Channel);
    return true;
  case frame_kind::evidence:
    PeerState.handleEvidence(*Frame.Evidence);
    return true;
  case frame_kind::move:
    if (result<service_move> Move = readServiceMove(*Frame.Body))
      PeerState.applyMove(*Move, From);
    else
      log_event("bad_move").add("error", Move.error().text());
    return true;
  case frame_kind::usage_ask:
  case frame_kind::usage_grant:
    if (!From.empty())
      PeerState.handleUsage({Frame.Call, Frame.UsageAsks, Frame.UsageGrants},
                            From);
    return true;
  case frame_kind::call:
  case frame_kind::answer:
  case frame_kind::cancel:
  case frame_kind::body_request:
  case frame_kind::body:
  case frame_kind::body_part:
  case frame_kind::subscribe:
    return false;
  }
  return false;
}

} // namespace chivebeam
