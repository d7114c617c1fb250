#include "wire/peer_frame.h"

#include <algorithm>
#include <limits>

#include "wire/thrift_codec.h"
#include "wire/usage_wire.h"
#include "wire/wire_convert.h"

namespace chivebeam {

namespace {

constexpr std::size_t MaxFrameHeadBytes = MaxMessageBytes;
constexpr unsigned SizeFieldBytes = 4;
/// Longest time that one call may have; larger relative times are clamped to
/// it.
constexpr microseconds MaxRemainingTime = std::chrono::minutes(10);
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

std::int64_t microsecondsUntil(instant Time, instant Now) {
  return std::clamp(Time - Now, -MaxRemainingTime, MaxRemainingTime).count();
}

instant timeAfter(std::int64_t Remaining, instant Now) {
  return Now + std::clamp(microseconds(Remaining), -MaxRemainingTime,
                          MaxRemainingTime);
}

unsigned toCount(std::int32_t Number) {
  return static_cast<unsigned>(std::max(Number, 0));
}

/// Bounds a duration that another node sent.
microseconds toDuration(std::int64_t Micros) {
  return std::clamp(microseconds(Micros), microseconds(0), MaxRemainingTime);
}

std::vector<wire::header_field> toWire(const header_list &Fields) {
  std::vector<wire::header_field> Out(Fields.size());
  for (std::size_t Index = 0; Index < Fields.size(); ++Index) {
    Out[Index].name = Fields[Index].Name;
    Out[Index].text = Fields[Index].Text;
  }
  return Out;
}

header_list fromWire(std::vector<wire::header_field> &In) {
  header_list Fields;
  Fields.reserve(In.size());
  for (wire::header_field &Field : In)
    Fields.push_back({std::move(Field.name), std::move(Field.text)});
  return Fields;
}

std::map<std::int32_t, std::int32_t> toWire(const refusal_ratios &Ratios) {
  std::map<std::int32_t, std::int32_t> Out;
  for (const refusal_ratio &Ratio : Ratios)
    Out[static_cast<std::int32_t>(Ratio.Urgency)] =
        static_cast<std::int32_t>(Ratio.Permille);
  return Out;
}

refusal_ratios fromWire(const std::map<std::int32_t, std::int32_t> &In) {
  refusal_ratios Ratios;
  for (const auto &[Urgency, Permille] : In)
    Ratios.push_back({toCount(Urgency), toCount(Permille)});
  return Ratios;
}

wire::home_load toWire(const home_load &Load) {
  wire::home_load Out;
  Out.running = static_cast<std::int32_t>(Load.Running);
  Out.waiting = static_cast<std::int32_t>(Load.Waiting);
  Out.limit = static_cast<std::int32_t>(Load.Limit);
  Out.service_time_us = Load.ServiceTime.count();
  Out.failed_permille = static_cast<std::int32_t>(Load.FailedPermille);
  Out.refused = toWire(Load.Refused);
  Out.downstream = toWire(Load.Downstream);
  Out.repeats_below_permille =
      static_cast<std::int32_t>(Load.DownstreamRetryBudgetPermille);
  if (Load.StartInterval.count() > 0) {
    Out.__set_start_interval_us(Load.StartInterval.count());
    Out.__set_start_wait_us(Load.StartWait.count());
  }
  return Out;
}

home_load fromWire(const wire::home_load &In) {
  home_load Load;
  Load.Running = toCount(In.running);
  Load.Waiting = toCount(In.waiting);
  Load.Limit = toCount(In.limit);
  Load.ServiceTime = microseconds(In.service_time_us);
  Load.FailedPermille = toCount(In.failed_permille);
  Load.Refused = fromWire(In.refused);
  Load.Downstream = fromWire(In.downstream);
  Load.DownstreamRetryBudgetPermille = toCount(In.repeats_below_permille);
  Load.StartInterval = toDuration(In.start_interval_us);
  Load.StartWait = toDuration(In.start_wait_us);
  return Load;
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

wire::call_request toWire(const mesh_call &Call, instant Now) {
  wire::call_request Out;
  Out.id = Call.Id.str();
  Out.service_name = Call.Service.str();
  Out.route = Call.Route.str();
  Out.worker = Call.Worker.str();
  Out.method = Call.Method;
  Out.target = Call.Target;
  Out.fields = toWire(Call.Fields);
  Out.time_left_us = microsecondsUntil(Call.Deadline, Now);
  Out.goal_left_us = microsecondsUntil(Call.Goal, Now);
  Out.urgency = static_cast<std::int32_t>(Call.Urgency);
  Out.idempotent = Call.Idempotent;
  Out.nested = Call.Nested;
  Out.repeat = Call.IsRetry;
  Out.unasked = static_cast<std::int32_t>(Call.RefusedAtEntry);
  Out.usual_us = Call.UsualDuration.count();
  Out.offered_bytes = static_cast<std::int64_t>(Call.OfferedBytes);
  Out.fingerprint = static_cast<std::int64_t>(Call.Fingerprint.value());
  if (Call.KnownRateLimit)
    Out.__set_rate_limit(Call.KnownRateLimit->PerSecond);
  if (!Call.Workspace.empty())
    Out.__set_workspace(Call.Workspace.str());
  if (Call.WorkspacePriority > 0)
    Out.__set_workspace_priority(
        static_cast<std::int32_t>(Call.WorkspacePriority));
  return Out;
}

mesh_call fromWire(wire::call_request &In, std::string Body, instant Now) {
  mesh_call Call;
  Call.Id = request_id(std::move(In.id));
  Call.Service = service_name(std::move(In.service_name));
  Call.Route = route_name(std::move(In.route));
  Call.Worker = worker_id(std::move(In.worker));
  Call.Method = std::move(In.method);
  Call.Target = std::move(In.target);
  Call.Fields = fromWire(In.fields);
  Call.Body = std::make_shared<const std::string>(std::move(Body));
  Call.Deadline = timeAfter(In.time_left_us, Now);
  Call.Goal = timeAfter(In.goal_left_us, Now);
  Call.Urgency = toCount(In.urgency);
  Call.Idempotent = In.idempotent;
  Call.Nested = In.nested;
  Call.IsRetry = In.repeat;
  Call.RefusedAtEntry = toCount(In.unasked);
  Call.UsualDuration = microseconds(std::max<std::int64_t>(In.usual_us, 0));
  Call.OfferedBytes =
      static_cast<std::uint64_t>(std::max<std::int64_t>(In.offered_bytes, 0));
  Call.Fingerprint =
      call_fingerprint(static_cast<std::uint64_t>(In.fingerprint));
  if (In.__isset.rate_limit && In.rate_limit >= 0)
    Call.KnownRateLimit = call_rate{In.rate_limit};
  if (In.__isset.workspace)
    Call.Workspace = workspace_name(std::move(In.workspace));
  if (In.__isset.workspace_priority)
    Call.WorkspacePriority = toCount(In.workspace_priority);
  return Call;
}

wire::call_answer toWire(const mesh_answer &Answer) {
  wire::call_answer Out;
  Out.outcome = static_cast<std::int32_t>(Answer.Outcome);
  Out.status = static_cast<std::int32_t>(Answer.Status);
  Out.fields = toWire(Answer.Fields);
  Out.load = toWire(Answer.Load);
  Out.wait_us = Answer.RetryAfter.count();
  Out.reason = Answer.Reason;
  Out.ran_us = Answer.RunTime.count();
  if (Answer.EndedServer)
    Out.__set_ended_born_ms(Answer.EndedServer->StartedAtMs);
  return Out;
}

mesh_answer fromWire(wire::call_answer &In, std::string Body) {
  mesh_answer Answer;
  // An outcome that this version does not know gives no information about the
  // call, so the call counts as lost.
  bool Known = In.outcome >= 0 &&
               In.outcome <= static_cast<std::int32_t>(attempt_outcome::lost);
  Answer.Outcome =
      Known ? static_cast<attempt_outcome>(In.outcome) : attempt_outcome::lost;
  Answer.Status = toCount(In.status);
  Answer.Fields = fromWire(In.fields);
  Answer.Body = std::make_shared<const std::string>(std::move(Body));
  Answer.Load = fromWire(In.load);
  Answer.RetryAfter = microseconds(In.wait_us);
  Answer.Reason = std::move(In.reason);
  Answer.RunTime = microseconds(In.ran_us);
  if (In.__isset.ended_born_ms)
    Answer.EndedServer = worker_start{worker_id(), In.ended_born_ms};
  return Answer;
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
    Out.__set_request(toWire(*Frame.Request, Now));
  if (Frame.Answer)
    Out.__set_answer(toWire(*Frame.Answer));
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
