#include "claims/claim_codec.h"

#include "chivebeam_types.h"
#include "wire/thrift_codec.h"

namespace chivebeam {

namespace {

enum class message_kind { ask = 0, end = 1 };

std::int64_t toSigned(std::uint64_t Number) {
  return static_cast<std::int64_t>(Number);
}

std::uint64_t toUnsigned(std::int64_t Number) {
  return static_cast<std::uint64_t>(Number);
}

std::int64_t toMicros(instant Time) { return Time.time_since_epoch().count(); }

instant fromMicros(std::int64_t Micros) {
  return instant(microseconds(Micros));
}

bool inRange(std::int32_t Raw, auto Highest) {
  return Raw >= 0 && Raw <= static_cast<std::int32_t>(Highest);
}

tl::unexpected<error> invalidMessage() {
  return tl::unexpected(
      error{error_kind::invalid_input, "",
            "a claim message has a missing or invalid value",
            "check that the sender is a chivebeam node of the same version"});
}

wire::claim_record toWire(const claim_record &Record) {
  wire::claim_record Out;
  Out.event = static_cast<std::int32_t>(Record.Event);
  Out.key_high = toSigned(Record.Key.High);
  Out.key_low = toSigned(Record.Key.Low);
  Out.request_digest = toSigned(Record.Request.value());
  Out.id = Record.Id.str();
  Out.status = static_cast<std::int32_t>(Record.Status);
  Out.at_us = toMicros(Record.At);
  Out.runs_until_us = toMicros(Record.RunsUntil);
  return Out;
}

result<claim_record> fromWire(const wire::claim_record &In) {
  if (!inRange(In.event, claim_event::ran))
    return invalidMessage();
  claim_record Record;
  Record.Event = static_cast<claim_event>(In.event);
  Record.Key = {toUnsigned(In.key_high), toUnsigned(In.key_low)};
  Record.Request = request_digest(toUnsigned(In.request_digest));
  Record.Id = claim_id(In.id);
  Record.Status = static_cast<unsigned>(In.status);
  Record.At = fromMicros(In.at_us);
  Record.RunsUntil = fromMicros(In.runs_until_us);
  return Record;
}

} // namespace

std::string encodeClaimMessage(const claim_message &Message) {
  wire::claim_question Out;
  Out.fleet = Message.Fleet.str();
  Out.service_name = Message.Service.str();
  Out.kind = static_cast<std::int32_t>(Message.Content.index());
  if (const auto *Ask = std::get_if<relative_claim_request>(&Message.Content)) {
    Out.id = Ask->Request.Id.str();
    Out.key_high = toSigned(Ask->Request.Key.High);
    Out.key_low = toSigned(Ask->Request.Key.Low);
    Out.request_digest = toSigned(Ask->Request.Request.value());
    Out.runs_for_ms = Ask->RunsFor.count();
    Out.wait_ms = Ask->WaitFor.count();
  } else {
    const claim_end &End = std::get<claim_end>(Message.Content);
    Out.id = End.Id.str();
    Out.key_high = toSigned(End.Key.High);
    Out.key_low = toSigned(End.Key.Low);
    Out.outcome = static_cast<std::int32_t>(End.Outcome);
    Out.status = static_cast<std::int32_t>(End.Status);
  }
  return encodeThrift(Out);
}

result<claim_message> decodeClaimMessage(std::string_view Bytes) {
  result<wire::claim_question> In = decodeThrift<wire::claim_question>(Bytes);
  if (!In)
    return tl::unexpected(In.error());
  if (!inRange(In->kind, message_kind::end) || In->id.empty() ||
      !inRange(In->outcome, claim_outcome::ran))
    return invalidMessage();
  claim_message Message;
  Message.Fleet = fleet_name(In->fleet);
  Message.Service = service_name(In->service_name);
  claim_key Key{toUnsigned(In->key_high), toUnsigned(In->key_low)};
  if (In->kind == static_cast<std::int32_t>(message_kind::ask)) {
    relative_claim_request Ask;
    Ask.Request.Id = claim_id(In->id);
    Ask.Request.Key = Key;
    Ask.Request.Request = request_digest(toUnsigned(In->request_digest));
    Ask.RunsFor = milliseconds(In->runs_for_ms);
    Ask.WaitFor = milliseconds(In->wait_ms);
    Message.Content = Ask;
  } else {
    Message.Content = claim_end{claim_id(In->id), Key,
                                static_cast<claim_outcome>(In->outcome),
                                static_cast<unsigned>(In->status)};
  }
  return Message;
}

std::string encodeAnswer(const claim_answer &Answer) {
  wire::claim_answer Out;
  Out.verdict = static_cast<std::int32_t>(Answer.Verdict);
  Out.status = static_cast<std::int32_t>(Answer.Status);
  return encodeThrift(Out);
}

result<claim_answer> decodeAnswer(std::string_view Bytes) {
  result<wire::claim_answer> In = decodeThrift<wire::claim_answer>(Bytes);
  if (!In)
    return tl::unexpected(In.error());
  if (!In->__isset.verdict || !inRange(In->verdict, claim_verdict::over_limit))
    return invalidMessage();
  return claim_answer{static_cast<claim_verdict>(In->verdict),
                      static_cast<unsigned>(In->status)};
}

std::string encodeSegment(const claim_segment &Segment) {
  wire::claim_segment Out;
  Out.sequence = toSigned(Segment.Sequence.value());
  Out.batch = toSigned(Segment.Batch.value());
  for (const claim_record &Record : Segment.Records)
    Out.records.push_back(toWire(Record));
  return encodeThrift(Out);
}

result<claim_segment> decodeSegment(std::string_view Bytes) {
  result<wire::claim_segment> In = decodeThrift<wire::claim_segment>(Bytes);
  if (!In)
    return tl::unexpected(In.error());
  claim_segment Segment;
  Segment.Sequence = claim_sequence(toUnsigned(In->sequence));
  Segment.Batch = batch_id(toUnsigned(In->batch));
  for (const wire::claim_record &Item : In->records) {
    result<claim_record> Record = fromWire(Item);
    if (!Record)
      return tl::unexpected(Record.error());
    Segment.Records.push_back(std::move(*Record));
  }
  return Segment;
}

} // namespace chivebeam
