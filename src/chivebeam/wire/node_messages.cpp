#include "wire/node_messages.h"

#include "wire/thrift_codec.h"
#include "wire/wire_convert.h"

namespace chivebeam {

namespace {

using chivebeam::fromWire;
using chivebeam::toWire;

constexpr std::size_t DigestBytes = sizeof(std::uint32_t);

wire::member_record toWire(const member_record &Record) {
  wire::member_record Out;
  Out.node = Record.Node.str();
  Out.incarnation = static_cast<std::int64_t>(Record.Incarnation.value());
  Out.state = static_cast<std::int32_t>(Record.State);
  Out.leaving = Record.Leaving;
  Out.watcher = Record.Watcher;
  Out.domain = Record.Domain.str();
  Out.region = Record.Region.str();
  Out.peer = toWire(Record.Peer);
  Out.relay_port = Record.RelayPort;
  if (Record.Worker.State != worker_state::absent)
    Out.__set_worker(toWire(Record.Worker));
  return Out;
}

member_record fromWire(const wire::member_record &In) {
  member_record Record;
  Record.Node = node_id(In.node);
  Record.Incarnation = incarnation(static_cast<std::uint64_t>(In.incarnation));
  Record.State = toEnum(In.state, member_state::dead);
  Record.Leaving = In.leaving;
  Record.Watcher = In.watcher;
  Record.Domain = failure_domain(In.domain);
  Record.Region = region_name(In.region);
  Record.Peer = fromWire(In.peer);
  Record.RelayPort = static_cast<std::uint16_t>(In.relay_port);
  if (In.__isset.worker)
    Record.Worker = fromWire(In.worker);
  return Record;
}

template <typename To, typename From>
std::vector<To> convertAll(const std::vector<From> &Items) {
  std::vector<To> Out;
  Out.reserve(Items.size());
  for (const From &Item : Items) {
    if constexpr (requires { toWire(Item); })
      Out.push_back(toWire(Item));
    else
      Out.push_back(fromWire(Item));
  }
  return Out;
}

std::string packDigests(const std::vector<std::uint32_t> &Digests) {
  std::string Bytes;
  Bytes.reserve(Digests.size() * DigestBytes);
  for (std::uint32_t Digest : Digests)
    for (unsigned Byte = 0; Byte < DigestBytes; ++Byte)
      Bytes.push_back(static_cast<char>(Digest >> (8 * Byte)));
  return Bytes;
}

std::vector<std::uint32_t> unpackDigests(const std::string &Bytes) {
  std::vector<std::uint32_t> Digests(Bytes.size() / DigestBytes);
  for (std::size_t Index = 0; Index < Digests.size() * DigestBytes; ++Index)
    Digests[Index / DigestBytes] |=
        std::uint32_t{static_cast<unsigned char>(Bytes[Index])}
        << (8 * (Index % DigestBytes));
  return Digests;
}

wire::gossip_message toWire(const gossip_message &Message) {
  wire::gossip_message Out;
  Out.kind = static_cast<std::int32_t>(Message.Kind);
  Out.fleet = Message.Fleet.str();
  Out.sequence = static_cast<std::int64_t>(Message.Sequence);
  Out.sender = toWire(Message.Sender);
  if (Message.Kind == gossip_kind::ping_request)
    Out.__set_target(toWire(Message.Target));
  Out.head.number = static_cast<std::int64_t>(Message.Head.Number.value());
  Out.head.digest = static_cast<std::int64_t>(Message.Head.Digest.value());
  Out.table_digest = static_cast<std::int64_t>(Message.TableDigest);
  Out.records = convertAll<wire::member_record>(Message.Records);
  Out.moves = convertAll<wire::move_progress>(Message.Moves);
  if (!Message.BucketDigests.empty())
    Out.__set_bucket_digests(packDigests(Message.BucketDigests));
  if (!Message.CompleteBuckets.empty())
    Out.__set_whole_buckets(std::string(Message.CompleteBuckets.begin(),
                                        Message.CompleteBuckets.end()));
  return Out;
}

gossip_message fromWire(const wire::gossip_message &In) {
  gossip_message Message;
  Message.Kind = toEnum(In.kind, gossip_kind::pull_answer);
  Message.Fleet = fleet_name(In.fleet);
  Message.Sequence = static_cast<std::uint64_t>(In.sequence);
  Message.Sender = fromWire(In.sender);
  Message.Target = fromWire(In.target);
  Message.Head.Number =
      config_number(static_cast<std::uint64_t>(In.head.number));
  Message.Head.Digest =
      config_digest(static_cast<std::uint64_t>(In.head.digest));
  Message.TableDigest = static_cast<std::uint64_t>(In.table_digest);
  Message.Records = convertAll<member_record>(In.records);
  Message.Moves = convertAll<move_progress>(In.moves);
  Message.BucketDigests = unpackDigests(In.bucket_digests);
  Message.CompleteBuckets.assign(In.whole_buckets.begin(),
                                 In.whole_buckets.end());
  return Message;
}

} // namespace

std::string encodeDatagram(const datagram_content &Content) {
  wire::datagram Out;
  if (const auto *Gossip = std::get_if<gossip_message>(&Content))
    Out.__set_gossip(toWire(*Gossip));
  else
    Out.__set_evidence(toWire(std::get<evidence_report>(Content)));
  return encodeThrift(Out);
}

result<datagram_content> decodeDatagram(std::string_view Bytes) {
  result<wire::datagram> Decoded = decodeThrift<wire::datagram>(Bytes);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  if (Decoded->__isset.gossip)
    return datagram_content(fromWire(Decoded->gossip));
  if (Decoded->__isset.evidence)
    return datagram_content(fromWire(Decoded->evidence));
  return tl::unexpected(
      error{error_kind::invalid_input, "",
            "the datagram has neither a gossip message nor evidence",
            "check that the sender is a chivebeam node of the same version"});
}

} // namespace chivebeam
