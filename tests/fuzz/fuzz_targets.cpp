#include "fuzz/fuzz_targets.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>

#include "charts/state_chart.h"
#include "config/compiler.h"
#include "control/worker_registry.h"
#include "fuzz/answer_target.h"
#include "fuzz/fuzz_checks.h"
#include "fuzz/peer_target.h"
#include "fuzz/request_target.h"
#include "membership/membership.h"
#include "mesh/mesh_records.h"
#include "net/asio_types.h"
#include "node/node_settings.h"
#include "platform/http_protocol.h"
#include "platform/operator_json_format.h"
#include "sessions/move_journal.h"
#include "wire/compressed_text.h"
#include "wire/node_messages.h"
#include "wire/peer_frame.h"

namespace chivebeam::fuzz {

namespace {

void runSettings(std::string_view Bytes) {
  requireRemedies(readSettings(Bytes));
}

void runSource(std::string_view Bytes) {
  std::size_t Middle = Bytes.find('\0');
  config_source Source;
  Source.Number = config_number(1);
  Source.Register = std::string(Bytes.substr(0, Middle));
  if (Middle != std::string_view::npos)
    Source.Rules = std::string(Bytes.substr(Middle + 1));
  requireRemedies(compile(Source));
  requireRemedies(readSource(Bytes));
}

void runChart(std::string_view Bytes) {
  checked<state_chart> Chart = state_chart::load(Bytes);
  requireRemedies(Chart);
  if (Chart)
    Chart->step(Chart->initial(), "event",
                [](std::string_view) { return true; });
}

void runAnnouncement(std::string_view Bytes) {
  requireRemedies(readAnnouncement(Bytes));
}

void runDatagram(std::string_view Bytes) {
  result<datagram_content> Content = decodeDatagram(Bytes);
  if (!Content) {
    requireRemedy(Content.error());
    return;
  }
  result<datagram_content> Again = decodeDatagram(encodeDatagram(*Content));
  if (!Again)
    throw std::logic_error(
        "a decoded datagram can't be encoded and decoded again");
}

/// No message may change a node's own record.
void runMembership(std::string_view Bytes) {
  result<datagram_content> Content = decodeDatagram(Bytes);
  if (!Content) {
    requireRemedy(Content.error());
    return;
  }
  auto *Message = std::get_if<gossip_message>(&*Content);
  if (!Message)
    return;
  member_record Self;
  Self.Node = node_id("self");
  Self.Peer = {"127.0.0.1", 1};
  membership Node(Message->Fleet, Self, membership_settings(), 1);
  Node.receive(*Message, {"127.0.0.1", 2}, instant(seconds(1)));
  Node.tick(instant(seconds(2)));
  const member_record *Listed = Node.table().find(Self.Node);
  if (!Listed || *Listed != Node.self() || Listed->Peer != Self.Peer)
    throw std::logic_error("a message changed a node's own record");
}

void runJournal(std::string_view Bytes) {
  requireRemedies(readJournalEntry(Bytes));
}

/// A node connects to the address of each record that it accepts.
void requireConnectable(const address &Address) {
  if (!isConnectable(Address))
    throw std::logic_error("nothing can connect to " + Address.text());
  toTcp(Address); // throws if the IP address is invalid
}

void runFrame(std::string_view Bytes) {
  if (Bytes.size() < FramePrefixBytes)
    return;
  result<frame_sizes> Sizes =
      decodeFrameSizes(Bytes.substr(0, FramePrefixBytes));
  if (!Sizes)
    return requireRemedy(Sizes.error());
  std::string_view Rest = Bytes.substr(FramePrefixBytes);
  std::string_view Head = Rest.substr(0, Sizes->Head);
  std::string Body(Rest.substr(Head.size()));
  result<peer_frame> Frame =
      decodeFrame(Head, std::move(Body), instant(seconds(1)));
  if (!Frame)
    return requireRemedy(Frame.error());
  for (const home_record &Record : Frame->Records)
    if (!Record.Gone)
      requireConnectable(Record.Peer);
}

void runPackedText(std::string_view Bytes) {
  constexpr std::size_t MaxBytes = 1 << 20;
  result<std::string> Text = decompressText(Bytes, MaxBytes);
  if (!Text)
    return requireRemedy(Text.error());
  result<std::string> Again = decompressText(compressText(*Text), MaxBytes * 2);
  if (!Again || *Again != *Text)
    throw std::logic_error(
        "an unpacked text can't be packed and unpacked again");
}

void runRecord(std::string_view Bytes) {
  result<home_record> Record = readHomeRecord(Bytes, instant(seconds(1)));
  if (!Record)
    return requireRemedy(Record.error());
  requireConnectable(Record->Peer);
}

void runMove(std::string_view Bytes) {
  result<service_move> Move = readServiceMove(Bytes);
  if (!Move)
    requireRemedy(Move.error());
}

void runReport(std::string_view Bytes) {
  http_request Request(http::verb::put, "/instances/w", 11);
  Request.body() = std::string(Bytes);
  result<worker_message> Message =
      platform::http_worker_protocol().read(Request, instant(seconds(1)));
  if (!Message)
    return requireRemedy(Message.error());
  requireConnectable(Message->Report.At);
}

/// Each key has one workspace, which is found by it.
void requireDistinctKeys(const snapshot &Config) {
  std::vector<api_key> Seen;
  for (const auto &[Name, Workspace] : Config.workspaces())
    for (const api_key &Key : Workspace.Keys) {
      require(!Key.empty() &&
                  std::find(Seen.begin(), Seen.end(), Key) == Seen.end(),
              "a key is empty or stands twice");
      require(Config.findWorkspaceOf(Key) == Config.findWorkspace(Name),
              "a key leads to another workspace");
      Seen.push_back(Key);
    }
}

void requireSaneLimits(const snapshot &Config) {
  for (const auto &[Name, Workspace] : Config.workspaces()) {
    const usage_cap &Cap = Workspace.Cap;
    require(!Name.empty() && std::isfinite(Cap.RatePerSecond) &&
                std::isfinite(Cap.Burst) && Cap.RatePerSecond >= 0 &&
                Cap.Burst >= 0,
            "a workspace has an absurd cap");
  }
  const caller_limits &Limits = Config.callerLimits();
  require(Limits.MaxHeaderBytes <= std::numeric_limits<std::uint32_t>::max() &&
              Limits.MaxBodyBytes <= std::numeric_limits<std::int64_t>::max(),
          "callers have absurd limits");
  for (const route_rule &Route : Config.routes())
    require(Config.findService(Route.Service) && Route.Deadline.count() >= 0,
            "a route has no service or an absurd deadline");
}

void runOperatorDocument(std::string_view Bytes) {
  platform::operator_json_format Format;
  checked<snapshot_ptr> Config = Format.compile(std::string(Bytes));
  requireRemedies(Config);
  if (Config) {
    requireDistinctKeys(**Config);
    requireSaneLimits(**Config);
  }
  result<move_order> Order = Format.readMoveOrder(std::string(Bytes));
  if (!Order)
    requireRemedy(Order.error());
}

constexpr fuzz_target Targets[] = {
    {"settings", runSettings}, {"source", runSource},
    {"chart", runChart},       {"announcement", runAnnouncement},
    {"datagram", runDatagram}, {"membership", runMembership},
    {"journal", runJournal},   {"frame", runFrame},
    {"packed", runPackedText}, {"record", runRecord},
    {"move", runMove},         {"report", runReport},
    {"request", runRequest},   {"peer", runPeer},
    {"answer", runAnswer},     {"operator", runOperatorDocument},
};

} // namespace

std::span<const fuzz_target> allTargets() { return Targets; }

} // namespace chivebeam::fuzz
