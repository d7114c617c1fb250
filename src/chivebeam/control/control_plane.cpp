#include "control/control_plane.h"

#include "charts/embedded_charts.h"
#include "control/fleet_survey.h"
#include "net/clock.h"
#include "sessions/move_json.h"
#include "telemetry/log_event.h"
#include "telemetry/log_writer.h"
#include "telemetry/metric_text.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

constexpr milliseconds TickInterval{50};
constexpr milliseconds FleetSizeInterval{1'000};
constexpr std::size_t MaxPeerBodyBytes = 4 << 20;

std::uint64_t seedOf(const node_id &Node, instant Now) {
  return std::hash<std::string>()(Node.str()) ^
         static_cast<std::uint64_t>(Now.time_since_epoch().count());
}

json::object toJson(const control_traffic &Traffic) {
  json::object Out;
  Out["datagrams_sent"] = Traffic.DatagramsSent;
  Out["datagrams_received"] = Traffic.DatagramsReceived;
  Out["datagrams_refused"] = Traffic.DatagramsRefused;
  Out["bytes_sent"] = Traffic.BytesSent;
  Out["bytes_received"] = Traffic.BytesReceived;
  return Out;
}

http_response errorResponse(http::status Status, const error_list &Errors) {
  json::array Items;
  for (const error &Error : Errors)
    Items.push_back(json::value(Error.text()));
  json::object Body;
  Body["title"] = "the request was not taken";
  Body["errors"] = std::move(Items);
  return makeResponse(Status, json::serialize(Body));
}

} // namespace

control_plane::control_plane(asio::io_context &IoContext,
                             const node_settings &NodeSettings,
                             atomic_fleet_view &ViewCell,
                             const move_decider &MoveDecider, outputs Sinks)
    : Context(IoContext), Settings(NodeSettings), Views(ViewCell),
      Outputs(std::move(Sinks)),
      Transport(IoContext,
                [this](const datagram_content &Content, const address &From) {
                  onDatagram(Content, From);
                }),
      PeerService(IoContext, MaxPeerBodyBytes,
                  [this](const http_request &Request, const address &) {
                    return handlePeer(Request);
                  }),
      ControlService(IoContext, MaxPeerBodyBytes,
                     [this](const http_request &Request, const address &) {
                       return handleControl(Request);
                     }),
      Distributor(IoContext, Config, NodeSettings.Fleet, NodeSettings.Node,
                  seedOf(NodeSettings.Node, currentTime()),
                  [this](const config_source &Source) { onApplied(Source); }),
      Decider(MoveDecider),
      Claims(NodeSettings.Fleet, NodeSettings.Node, Outputs.ToClaims),
      NodeState(shippedChart("node").initial()) {}

result<void> control_plane::start(std::uint16_t RelayPort) {
  result<address> Bound = PeerService.listen(Settings.Peer);
  if (!Bound)
    return tl::unexpected(Bound.error());
  Peer = *Bound;
  result<address> BoundControl = ControlService.listen(Settings.Control);
  if (!BoundControl)
    return tl::unexpected(BoundControl.error());
  Control = *BoundControl;
  result<void> Opened = Transport.open(Peer);
  if (!Opened)
    return Opened;
  instant Now = currentTime();
  member_record Self;
  Self.Node = Settings.Node;
  Self.Incarnation =
      incarnation(static_cast<std::uint64_t>(Now.time_since_epoch().count()));
  Self.Domain = Settings.Domain;
  Self.Region = Settings.Region;
  Self.Peer = Peer;
  Self.RelayPort = RelayPort;
  Members = std::make_unique<membership>(
      Settings.Fleet, Self, membership_settings(), seedOf(Settings.Node, Now));
  Members->addContacts(Settings.Contacts);
  startMoves(Self.Incarnation);
  asio::co_spawn(Context, tickLoop(), asio::detached);
  return {};
}

void control_plane::onDatagram(const datagram_content &Content,
                               const address &From) {
  instant Now = currentTime();
  if (const auto *Report = std::get_if<evidence_report>(&Content)) {
    Moves->addEvidence(*Report, Now);
    return;
  }
  const gossip_message &Message = std::get<gossip_message>(Content);
  if (Message.Fleet != Settings.Fleet) {
    Transport.countRefused();
    return;
  }
  Distributor.headSeen(Message.Head, From, Now);
  Transport.send(Members->receive(Message, From, Now));
  Distributor.tick(Now);
}

awaitable<void> control_plane::tickLoop() {
  while (NodeState != "stopped") {
    tick(currentTime());
    co_await sleepFor(TickInterval);
  }
}

void control_plane::tick(instant Now) {
  if (Worker.tick(Now))
    workerChanged(Now);
  Transport.send(Members->tick(Now));
  Distributor.tick(Now);
  updateReadiness(Now);
  if (Config.current() && Moves->tick(*Config.current(), Now))
    ViewOutdated = true;
  logNodeIdConflict(Now);
  if (Now >= NextFleetSizeReport) {
    NextFleetSizeReport = Now + FleetSizeInterval;
    fleet_size Size;
    Size.Nodes = Members->table().liveCount();
    for (const auto &[Node, Entry] : Members->table().entries())
      if (Entry.Record.Domain == Settings.Domain &&
          Entry.Record.State != member_state::dead)
        ++Size.NodesInDomain;
    Outputs.ToStore(Size);
  }
  if (NodeState == "draining" && Now >= DrainEnds)
    fireNodeEvent("drain_limit");
  publishView();
}

void control_plane::logNodeIdConflict(instant Now) {
  bool Conflict = Members->identity().inConflict(Now);
  if (Conflict == HasNodeIdConflict)
    return;
  HasNodeIdConflict = Conflict;
  log_event("node_id_conflict")
      .add("node", Settings.Node)
      .add("present", Conflict)
      .add("other", Members->identity().otherAddress().text())
      .add("remedy", "give each process a unique node id");
}

void control_plane::handleStore(store_event Event) {
  if (auto *Found = std::get_if<source_found>(&Event)) {
    Distributor.offer(Found->Source, std::nullopt, currentTime());
  } else if (auto *Head = std::get_if<store_answered>(&Event)) {
    Distributor.storeAnswered(Head->Newest, currentTime());
  } else if (auto *Contacts = std::get_if<watchers_found>(&Event)) {
    Distributor.contactsFound(Contacts->Peers.size());
    Members->addContacts(Contacts->Peers);
  } else if (auto *WatcherLease = std::get_if<watcher_lease_changed>(&Event)) {
    Members->setWatcher(WatcherLease->HoldsLease, currentTime());
  } else if (auto *Session = std::get_if<session_changed>(&Event)) {
    StoreUp = Session->Up;
  } else if (auto *Verdict = std::get_if<verdict_found>(&Event)) {
    onVerdict(Verdict->Progress);
  }
}

void control_plane::onVerdict(const move_progress &Progress) {
  if (Members->offerMove(Progress))
    log_event("verdict")
        .add("move", Progress.Id)
        .add("verdict", toString(Progress.Recorded))
        .add("reason", Progress.Reason);
  ViewOutdated = true;
}

void control_plane::onApplied(const config_source &Source) {
  Members->setHead(Config.head());
  Outputs.ToStore(source_applied{Source});
  std::vector<move_id> Moves;
  for (const move_rule &Rule : Config.current()->moves())
    Moves.push_back(Rule.Id);
  Members->keepMoves(Moves);
  ViewOutdated = true;
  Transport.send(Members->tick(currentTime()));
  updateReadiness(currentTime());
  publishView();
}

void control_plane::updateReadiness(instant Now) {
  if (NodeState != "joining")
    return;
  if (!Distributor.canServe(Now))
    return;
  ViewOutdated = true;
  publishView();
  fireNodeEvent("configured");
}

void control_plane::fireNodeEvent(std::string_view Event) {
  chart_step Step = shippedChart("node").step(
      NodeState, Event, [](std::string_view) { return true; });
  if (!Step.Taken)
    return;
  NodeState = Step.State;
  log_event("node_state").add("state", NodeState);
  for (const std::string &Action : Step.Actions) {
    if (Action == "open_traffic")
      Outputs.ToData(open_traffic{});
    else if (Action == "announce_leaving") {
      instant Now = currentTime();
      DrainEnds = Now + Settings.Limits.DrainLimit;
      Members->setLeaving(Now);
      Transport.send(Members->tick(Now));
      Outputs.ToData(begin_drain{});
    } else if (Action == "stop_now")
      Outputs.Stopped();
  }
}

void control_plane::beginStop() { fireNodeEvent("stop"); }

void control_plane::handleData(data_event Event) {
  if (auto *Outcome = std::get_if<call_outcome>(&Event)) {
    if (!Outcome->AtEntry)
      Metrics.record(Outcome->Class, Outcome->Workspace, Outcome->Failed,
                     Outcome->Duration);
    if (Moves->record(*Outcome, currentTime())) {
      ViewOutdated = true;
      Transport.send(Members->tick(currentTime()));
      publishView();
    }
  } else if (auto *Opened = std::get_if<traffic_opened>(&Event)) {
    Traffic = Opened->Bound;
    log_event("listening")
        .add("node", Settings.Node)
        .add("traffic", Traffic.text())
        .add("peer", Peer.text())
        .add("control", Control.text());
  } else if (std::holds_alternative<data_drained>(Event)) {
    fireNodeEvent("idle");
  }
}

void control_plane::workerChanged(instant Now) {
  const worker_record &Record = Worker.record();
  Members->updateWorker(Record, Now);
  Moves->setWorker(Record);
  bool Ready = Record.State == worker_state::ready;
  Outputs.ToData(worker_binding{Worker.workerAddress(),
                                Ready ? Record.Slots : 0, Record.Version});
  log_event("worker_state")
      .add("service", Record.Service)
      .add("version", Record.Version)
      .add("state", toString(Record.State));
  Transport.send(Members->tick(Now));
  ViewOutdated = true;
}

void control_plane::startMoves(incarnation Incarnation) {
  move_participant::outputs Sinks;
  Sinks.Send = [this](const address &To, const evidence_report &Report) {
    Transport.send(To, Report);
  };
  Sinks.Record = [this](record_verdict Verdict) {
    Outputs.ToStore(std::move(Verdict));
  };
  Moves = std::make_unique<move_participant>(
      Settings.Node, Incarnation, Decider, *Members, std::move(Sinks));
}

void control_plane::publishView() {
  std::uint64_t Revision = Members->routingRevision();
  bool Outdated = ViewOutdated || Revision != ViewRevision;
  if (!Outdated || !Config.current())
    return;
  ViewOutdated = false;
  ViewRevision = Revision;
  fleet_view_ptr View =
      makeFleetView(Config.current(), Members->table().records(),
                    Members->moves(), Settings.Domain, NodeState == "draining");
  Claims.ownersChanged(View->ClaimOwners, countClaimLogs(*Config.current()));
  Views.store(std::move(View));
}

awaitable<http_response>
control_plane::handlePeer(const http_request &Request) {
  if (std::optional<http_response> Answer =
          Distributor.answerPeer(Request, NodeState, currentTime()))
    co_return std::move(*Answer);
  if (Request.target() == ClaimTarget)
    co_return co_await Claims.answer(Request);
  co_return makeResponse(http::status::not_found, "{}");
}

awaitable<http_response>
control_plane::handleControl(const http_request &Request) {
  if (Request.target() == "/chivebeam/v1/announce" &&
      Request.method() == http::verb::post)
    co_return handleAnnounce(Request.body());
  if (Request.target() == "/chivebeam/v1/status")
    co_return makeResponse(http::status::ok, statusJson());
  if (Request.target() == "/chivebeam/v1/metrics")
    co_return metricsResponse();
  if (Request.target() == "/chivebeam/v1/fleet")
    co_return makeResponse(http::status::ok, co_await fleetJson());
  co_return makeResponse(http::status::not_found, "{}");
}

http_response control_plane::metricsResponse() const {
  std::string Text;
  appendMetric(Text, "chivebeam_config_number", "",
               static_cast<double>(Config.number().value()));
  appendMetric(Text, "chivebeam_live_nodes", "",
               static_cast<double>(Members->table().liveCount()));
  appendMetric(Text, "chivebeam_store_up", "", StoreUp ? 1 : 0);
  const control_traffic &Control = Transport.traffic();
  appendMetric(Text, "chivebeam_control_bytes_total", "direction=\"sent\"",
               static_cast<double>(Control.BytesSent));
  appendMetric(Text, "chivebeam_control_bytes_total", "direction=\"received\"",
               static_cast<double>(Control.BytesReceived));
  appendMetric(Text, "chivebeam_log_lines_dropped_total", "",
               static_cast<double>(log_writer::instance().dropped()));
  Metrics.write(Text);
  http_response Response = makeResponse(http::status::ok, std::move(Text));
  Response.set(http::field::content_type, "text/plain; version=0.0.4");
  return Response;
}

http_response control_plane::handleAnnounce(const std::string &Body) {
  checked<worker_announcement> Announcement = readAnnouncement(Body);
  if (!Announcement)
    return errorResponse(http::status::bad_request, Announcement.error());
  instant Now = currentTime();
  if (Worker.handleAnnouncement(*Announcement, Now))
    workerChanged(Now);
  return makeResponse(http::status::ok, "{}");
}

awaitable<std::string> control_plane::fleetJson() const {
  json::object Own;
  Own["node"] = Settings.Node.str();
  Own["state"] = NodeState;
  Distributor.addStatusTo(Own);
  std::vector<survey_peer> Peers;
  for (const auto &[Node, Entry] : Members->table().entries())
    if (Node != Settings.Node && Entry.Record.State != member_state::dead)
      Peers.push_back({Node, Entry.Record.Peer});
  return surveyFleet(Settings.Fleet, json::serialize(Own), std::move(Peers));
}

std::string control_plane::statusJson() const {
  json::object Out;
  Out["node"] = Settings.Node.str();
  Out["state"] = NodeState;
  Out["traffic"] = Traffic.text();
  Out["store_up"] = StoreUp;
  if (HasNodeIdConflict)
    Out["node_id_conflict"] = Members->identity().otherAddress().text();
  Distributor.addStatusTo(Out);
  json::array Nodes;
  for (const auto &[Node, Entry] : Members->table().entries()) {
    const member_record &Record = Entry.Record;
    json::object Item;
    Item["node"] = Node.str();
    Item["state"] = Record.Leaving ? "leaving" : toString(Record.State);
    Item["domain"] = Record.Domain.str();
    Item["service"] = Record.Worker.Service.str();
    Item["version"] = Record.Worker.Version.str();
    Item["worker"] = toString(Record.Worker.State);
    Nodes.push_back(std::move(Item));
  }
  Out["nodes"] = std::move(Nodes);
  Out["control_traffic"] = toJson(Transport.traffic());
  json::array Moves;
  for (const auto &[Id, Progress] : Members->moves())
    Moves.push_back(toJson(Progress));
  Out["moves"] = std::move(Moves);
  return json::serialize(Out);
}

} // namespace chivebeam
