#include "wire/peer_frame.h"

#include <algorithm>
#include <limits>

#include "wire/call_wire.h"
#include "wire/relative_time.h"
#include "wire/thrift_codec.h"
#include "wire/usage_wire.h"
#include "wire/wire_convert.h"

namespace chivebeam {

namespace {

constexpr std::size_t MaxFrameHeadBytes = MaxMessageBytes;
constexpr unsigned SizeFieldBytes = 4;
constexpr microseconds MaxEventAge = std::chrono::hours(1);

void appendSize(std::string &Bytes, std::size_t Size) {
  for (unsigned Byte = 0; Byte < SizeFieldBytes; ++Byte)
    Bytes.push_back(static_cast<char>(Size >> (8 * Byte)));
}

std::size_t readSize(std::string_view Bytes) {
  std::size_t Size = 0;
  for (unsigned Byte = 0; Byte < SizeFieldBytes; ++Byte)
    Size |= std::size_t{static_cast<unsigned char>(Bytes[Byte])} << (8 * Byte);
  return Size;
}

wire::home_record toWire(const home_record &Record, instant Now) {
  wire::home_record Out;
  Out.node = Record.Node.str();
  Out.peer = chivebeam::toWire(Record.Peer);
  Out.domain = Record.Domain.str();
  Out.worker = Record.Start.Worker.str();
  Out.born_ms = Record.Start.StartedAtMs;
  Out.report = static_cast<std::int64_t>(Record.Report);
  Out.change = static_cast<std::int64_t>(Record.Change);
  Out.node_leaving = Record.NodeLeaving;
  Out.record = chivebeam::toWire(Record.Worker);
  Out.cold_us = microsecondsUntil(Record.Worker.ReadySince, Now);
  Out.watches = Record.Watches;
  Out.coordinates = Record.Coordinates;
  Out.gone = Record.Gone;
  return Out;
}

/// False for a record that can't be applied. The record of a node that is gone
/// is not connected to.
bool isUsable(const wire::home_record &In) {
  bool HasPort = In.peer.port > 0 &&
                 In.peer.port <= std::numeric_limits<std::uint16_t>::max();
  bool HasPeer = HasPort && isConnectable(chivebeam::fromWire(In.peer));
  return !In.node.empty() && (HasPeer || In.gone) && In.record.slots >= 0;
}

home_record fromWire(const wire::home_record &In, instant Now) {
  home_record Record;
  Record.Node = node_id(In.node);
  Record.Peer = chivebeam::fromWire(In.peer);
  Record.Domain = failure_domain(In.domain);
  Record.Start = {worker_id(In.worker), In.born_ms};
  Record.Report = static_cast<std::uint64_t>(In.report);
  Record.Change = static_cast<std::uint64_t>(In.change);
  Record.NodeLeaving = In.node_leaving;
  Record.Worker = chivebeam::fromWire(In.record);
  Record.Worker.ReadySince = timeAfter(In.cold_us, Now);
  Record.Watches = In.watches;
  Record.Coordinates = In.coordinates;
  Record.Gone = In.gone;
  return Record;
}

wire::suspect_event toWire(const suspect_event &Event, instant Now) {
  wire::suspect_event Out;
  Out.fingerprint = static_cast<std::int64_t>(Event.Fingerprint.value());
  Out.worker = Event.Start.Worker.str();
  Out.born_ms = Event.Start.StartedAtMs;
  Out.age_us = (Now - Event.At).count();
  return Out;
}

suspect_event fromWire(const wire::suspect_event &In, instant Now) {
  microseconds Age =
      std::clamp(microseconds(In.age_us), microseconds(0), MaxEventAge);
  return {call_fingerprint(static_cast<std::uint64_t>(In.fingerprint)),
          {worker_id(In.worker), In.born_ms},
          Now - Age};
}

wire::evacuation_orders toWire(const evacuation_orders &Orders) {
  wire::evacuation_orders Out;
  Out.era = static_cast<std::int64_t>(Orders.Era.value());
  Out.revision = static_cast<std::int64_t>(Orders.Revision.value());
  for (const failure_domain &Domain : Orders.Domains)
    Out.domains.push_back(Domain.str());
  return Out;
}

evacuation_orders fromWire(const wire::evacuation_orders &In) {
  evacuation_orders Orders;
  Orders.Era = store_era(static_cast<std::uint64_t>(In.era));
  Orders.Revision = store_revision(static_cast<std::uint64_t>(In.revision));
  for (const std::string &Domain : In.domains)
    Orders.Domains.insert(failure_domain(Domain));
  return Orders;
}

error invalidFrame(std::string Message) {
  return {error_kind::invalid_input, "", std::move(Message),
          "check that the sender is a chivebeam node of the same version"};
}

} // namespace

shared_body bodyOf(const peer_frame &Frame) {
  if (Frame.Request)
    return Frame.Request->Body;
  if (Frame.Answer)
    return Frame.Answer->Body;
  return Frame.Body;
}

std::string encodeFrameHead(const peer_frame &Frame, std::size_t BodyBytes,
                            instant Now) {
  wire::peer_frame Out;
  Out.kind = static_cast<std::int32_t>(Frame.Kind);
  Out.call = static_cast<std::int64_t>(Frame.Call);
  Out.config = static_cast<std::int64_t>(Frame.Config.value());
  Out.digest = static_cast<std::int64_t>(Frame.Digest);
  Out.store_current = Frame.StoreAge.has_value();
  Out.store_age_us = Frame.StoreAge.value_or(microseconds(0)).count();
  Out.store_era = static_cast<std::int64_t>(Frame.Era.value());
  Out.covered_buckets = static_cast<std::int64_t>(Frame.CoveredBuckets);
  if (Frame.Kind == frame_kind::subscribe ||
      Frame.Kind == frame_kind::records_query)
    Out.__set_buckets({Frame.Buckets.begin(), Frame.Buckets.end()});
  if (Frame.Request)
    Out.__set_request(chivebeam::toWire(*Frame.Request, Now));
  if (Frame.Answer)
    Out.__set_answer(chivebeam::toWire(*Frame.Answer));
  if (!Frame.Records.empty()) {
    std::vector<wire::home_record> Records;
    Records.reserve(Frame.Records.size());
    for (const home_record &Record : Frame.Records)
      Records.push_back(toWire(Record, Now));
    Out.__set_records(Records);
  }
  if (Frame.Evidence)
    Out.__set_evidence(chivebeam::toWire(*Frame.Evidence));
  if (!Frame.Suspects.empty()) {
    std::vector<wire::suspect_event> Events;
    Events.reserve(Frame.Suspects.size());
    for (const suspect_event &Event : Frame.Suspects)
      Events.push_back(toWire(Event, Now));
    Out.__set_suspects(Events);
  }
  if (Frame.Evacuations)
    Out.__set_evacuations(toWire(*Frame.Evacuations));
  if (Frame.Kind == frame_kind::usage_ask)
    Out.__set_usage_asks(chivebeam::toWire(Frame.UsageAsks));
  if (Frame.Kind == frame_kind::usage_grant)
    Out.__set_usage_grants(chivebeam::toWire(Frame.UsageGrants));
  if (Frame.AcceptsParts)
    Out.__set_accepts_parts(true);
  if (Frame.PartedBytes > 0)
    Out.__set_body_bytes(static_cast<std::int64_t>(Frame.PartedBytes));
  std::string Head = encodeThrift(Out);
  std::string Bytes;
  Bytes.reserve(FramePrefixBytes + Head.size());
  appendSize(Bytes, Head.size());
  appendSize(Bytes, BodyBytes);
  Bytes += Head;
  return Bytes;
}

std::string encodeFrameHead(const peer_frame &Frame, instant Now) {
  shared_body Body = bodyOf(Frame);
  return encodeFrameHead(Frame, Body ? Body->size() : 0, Now);
}

result<frame_sizes> decodeFrameSizes(std::string_view Bytes) {
  frame_sizes Sizes{readSize(Bytes), readSize(Bytes.substr(SizeFieldBytes))};
  if (Sizes.Head > MaxFrameHeadBytes || Sizes.Body > MaxFrameBodyBytes)
    return tl::unexpected(
        invalidFrame("the head or body of the frame exceeds the size limit"));
  return Sizes;
}

result<peer_frame> decodeFrame(std::string_view Head, std::string Body,
                               instant Now) {
  result<wire::peer_frame> In = decodeThrift<wire::peer_frame>(Head);
  if (!In)
    return tl::unexpected(In.error());
  if (In->kind < 0 ||
      In->kind > static_cast<std::int32_t>(frame_kind::usage_grant))
    return tl::unexpected(invalidFrame("the frame has an unknown kind"));
  peer_frame Frame;
  Frame.Kind = static_cast<frame_kind>(In->kind);
  Frame.Call = static_cast<std::uint64_t>(In->call);
  Frame.Config = config_number(static_cast<std::uint64_t>(In->config));
  Frame.Digest = static_cast<std::uint64_t>(In->digest);
  if (In->store_current)
    Frame.StoreAge = std::clamp(microseconds(In->store_age_us), microseconds(0),
                                MaxRemainingTime);
  Frame.Era = store_era(static_cast<std::uint64_t>(In->store_era));
  Frame.CoveredBuckets = static_cast<std::uint64_t>(In->covered_buckets);
  std::size_t Buckets = std::min(In->buckets.size(), Frame.Buckets.size());
  std::copy_n(In->buckets.begin(), Buckets, Frame.Buckets.begin());
  if (In->__isset.request)
    Frame.Request = fromWire(In->request, std::move(Body), Now);
  else if (In->__isset.answer)
    Frame.Answer = fromWire(In->answer, std::move(Body));
  else if (!Body.empty())
    Frame.Body = std::make_shared<const std::string>(std::move(Body));
  for (const wire::home_record &Record : In->records)
    if (isUsable(Record))
      Frame.Records.push_back(fromWire(Record, Now));
    else
      ++Frame.SkippedRecords;
  for (const wire::suspect_event &Event : In->suspects)
    Frame.Suspects.push_back(fromWire(Event, Now));
  if (In->__isset.evidence)
    Frame.Evidence = chivebeam::fromWire(In->evidence);
  if (In->__isset.evacuations)
    Frame.Evacuations = fromWire(In->evacuations);
  Frame.UsageAsks = chivebeam::fromWire(In->usage_asks);
  Frame.UsageGrants = chivebeam::fromWire(In->usage_grants);
  Frame.AcceptsParts = In->__isset.accepts_parts && In->accepts_parts;
  if (In->__isset.body_bytes && In->body_bytes > 0)
    Frame.PartedBytes = static_cast<std::uint64_t>(In->body_bytes);
  bool Complete = (Frame.Kind != frame_kind::call || Frame.Request) &&
                  (Frame.Kind != frame_kind::answer || Frame.Answer) &&
                  (Frame.Kind != frame_kind::evidence || Frame.Evidence) &&
                  (Frame.Kind != frame_kind::move || Frame.Body) &&
                  (Frame.Kind != frame_kind::body || Frame.Body) &&
                  (Frame.Kind != frame_kind::body_part || Frame.Body);
  if (!Complete)
    return tl::unexpected(
        invalidFrame("the frame lacks the content that its kind requires"));
  return Frame;
}

} // namespace chivebeam
