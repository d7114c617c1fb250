#include "mesh/mesh_state.h"

#include <tuple>

#include "net/clock.h"
#include "telemetry/log_event.h"
#include "wire/compressed_text.h"

namespace chivebeam {

namespace {

/// The view is rebuilt at most once in this time for each known node, since the
/// work grows with their number.
constexpr microseconds RebuildTimePerNode{1'000};
constexpr double ChangeLogLinesPerSecond = 5;
constexpr double ChangeLogLinesBurst = 40;

} // namespace

mesh_state::mesh_state(const mesh_settings &MeshSettings,
                       const operator_document_format &Format)
    : Settings(MeshSettings), DocumentFormat(Format),
      ChangeLogBudget(ChangeLogLinesPerSecond, ChangeLogLinesBurst) {
  Own.Node = Settings.Node;
  // Later processes of this node start with higher numbers.
  Own.Change =
      static_cast<std::uint64_t>(currentTime().time_since_epoch().count());
}

void mesh_state::rebuild() {
  ViewOutdated = false;
  std::erase_if(Digests, [this](const auto &Item) {
    return Directory.find(Item.first) == nullptr;
  });
  RebuiltAt = currentTime();
  std::vector<home_record> Records = Directory.records();
  std::erase_if(Records, [this](const home_record &Record) {
    return Notices.isLeaving(Record.Start);
  });
  View = Config ? makeMeshView(Config, Records, Moves, Settings.Domain,
                               Evacuations.current().Domains)
                : nullptr;
  if (OnChange)
    OnChange();
}

void mesh_state::rebuildIfOutdated(instant Now) {
  microseconds Interval =
      RebuildTimePerNode * static_cast<std::int64_t>(Directory.size());
  if (ViewOutdated && Now >= RebuiltAt + Interval)
    rebuild();
}

void mesh_state::updateOwn(home_record Record) {
  Record.Node = Settings.Node;
  Record.Peer = Settings.Peers;
  Record.Domain = Settings.Domain;
  Record.Change = Own.Change + 1;
  Record.Gone = false;
  Own = std::move(Record);
  Directory.offer(Own, currentTime());
  rebuild();
  if (OnOwnRecord)
    OnOwnRecord(Own);
}

void mesh_state::setOwnRecord(home_record Record) {
  Record.Watches = Own.Watches;
  Record.Coordinates = Own.Coordinates;
  updateOwn(std::move(Record));
}

void mesh_state::setWatching(bool IsWatching) {
  if (Own.Watches == IsWatching)
    return;
  home_record Record = Own;
  Record.Watches = IsWatching;
  updateOwn(std::move(Record));
}

void mesh_state::setCoordinating(bool IsCoordinating) {
  if (Own.Coordinates == IsCoordinating)
    return;
  home_record Record = Own;
  Record.Coordinates = IsCoordinating;
  updateOwn(std::move(Record));
}

bool mesh_state::offer(const home_record &Record, const node_id &From) {
  if (Record.Node.empty())
    return false;
  // This node is the only source of its own record.
  if (Record.Node == Settings.Node) {
    if (isNewer(Record, Own) && OnOwnCopy)
      OnOwnCopy(Record);
    return false;
  }
  if (!Directory.offer(Record, currentTime()))
    return false;
  logChange(Record, From);
  return true;
}

void mesh_state::logChange(const home_record &Record, const node_id &From) {
  if (!ChangeLogBudget.take(currentTime())) {
    ++OmittedLines;
    return;
  }
  log_event Line("home_changed");
  Line.add("node", Record.Node)
      .add("worker", Record.Start.Worker)
      .add("service", Record.Worker.Service)
      .add("version", Record.Worker.Version)
      .add("state", toString(Record.Worker.State))
      .add("node_leaving", Record.NodeLeaving)
      .add("watches", Record.Watches)
      .add("gone", Record.Gone)
      .add("report", Record.Report)
      .add("from", From);
  if (std::uint64_t Omitted = std::exchange(OmittedLines, 0))
    Line.add("omitted_lines", Omitted);
}

void mesh_state::applyRecords(const std::vector<home_record> &Records,
                              const node_id &From) {
  std::vector<home_record> News;
  for (const home_record &Record : Records)
    if (offer(Record, From))
      News.push_back(Record);
  if (News.empty())
    return;
  ViewOutdated = true;
  rebuildIfOutdated(currentTime());
  if (OnNews)
    OnNews(News, From);
}

std::vector<home_record> mesh_state::recordsIn(std::uint64_t BucketSet) const {
  std::vector<home_record> Records = Directory.recordsWithGone();
  std::erase_if(Records, [&](const home_record &Record) {
    return !coversNode(BucketSet, Record.Node);
  });
  return Records;
}

std::vector<home_record>
mesh_state::recordsMissingIn(const std::vector<home_record> &Table,
                             std::uint64_t BucketSet) const {
  std::map<node_id, const home_record *> Listed;
  for (const home_record &Record : Table)
    Listed.emplace(Record.Node, &Record);
  std::vector<home_record> Missing = recordsIn(BucketSet);
  std::erase_if(Missing, [&](const home_record &Record) {
    auto Found = Listed.find(Record.Node);
    return Found == Listed.end() ? Record.Gone
                                 : !isNewer(Record, *Found->second);
  });
  return Missing;
}

std::vector<home_record>
mesh_state::markGone(const home_directory::record_filter &Filter, instant Now) {
  std::vector<home_record> Gone = Directory.markGone(Filter, Now);
  for (const home_record &Record : Gone)
    log_event("home_gone")
        .add("node", Record.Node)
        .add("worker", Record.Start.Worker)
        .add("change", Record.Change);
  ViewOutdated = ViewOutdated || !Gone.empty();
  return Gone;
}

void mesh_state::answerPassed(const worker_start &Server,
                              const server_notice &Notice) {
  bool WasLeaving = Notices.isLeaving(Server);
  Notices.answered(Server, Notice, currentTime());
  if (WasLeaving || !Notices.isLeaving(Server))
    return;
  log_event("server_leaving_seen").add("worker", Server.Worker);
  rebuild();
}

void mesh_state::tick(instant Now) {
  Directory.nodeAnswered(Settings.Node, Now);
  Directory.expire(Now);
  rebuildIfOutdated(Now);
}

peer_status mesh_state::ownStatus() const {
  peer_status Status{configNumber(), std::nullopt, Era};
  if (Own.Watches && StoreReadAt != instant())
    Status.StoreAge = currentTime() - StoreReadAt;
  return Status;
}

void mesh_state::noteEra(store_era Seen) {
  if (Seen <= Era)
    return;
  store_era Before = std::exchange(Era, Seen);
  if (Before.value() == 0)
    return;
  log_event("store_era_rose").add("era", Era).add("before", Before);
  if (OnEraRise)
    OnEraRise(Era);
}

std::uint64_t mesh_state::digest() const {
  std::uint64_t Digest = Directory.digest();
  for (const auto &[Service, Move] : Moves)
    Digest ^= digestOf(Move);
  return Digest;
}

bool mesh_state::digestDiffers(const node_id &From, std::uint64_t Digest) {
  const home_record *Peer = Directory.find(From);
  return Peer && (Peer->Watches || CutOff) &&
         Digests[From].differs(digest(), Digest);
}

config_number mesh_state::configNumber() const {
  return Config ? Config->number() : config_number();
}

void mesh_state::applyConfig(config_number Number, const shared_body &Text) {
  if (Config && Number <= Config->number() && Number.value() > 0)
    return;
  // During frequent changes each listing contains the current configuration
  // again.
  if (ConfigText && *ConfigText == *Text)
    return;
  checked<snapshot_ptr> Compiled = DocumentFormat.compile(*Text);
  if (!Compiled) {
    if (RefusedConfig == Number && Number.value() > 0)
      return;
    RefusedConfig = Number;
    log_event("config_refused")
        .add("number", Number)
        .add("kept", configNumber())
        .add("errors", Compiled.error().size())
        .add("first", Compiled.error().front().text());
    return;
  }
  if (Config && (*Compiled)->number() <= Config->number())
    return;
  log_event("config_in_force")
      .add("number", (*Compiled)->number())
      .add("before", configNumber())
      .add("routes", (*Compiled)->routes().size());
  Config = *Compiled;
  ConfigText = Text;
  CompressedConfig.reset();
  rebuild();
  if (OnNewConfig)
    OnNewConfig();
}

shared_body mesh_state::compressedConfig() {
  if (!CompressedConfig && ConfigText)
    CompressedConfig =
        std::make_shared<const std::string>(compressText(*ConfigText));
  return CompressedConfig;
}

void mesh_state::handleEvidence(const evidence_report &Report) {
  if (OnEvidence)
    OnEvidence(Report);
}

std::vector<service_move> mesh_state::knownMoves() const {
  std::vector<service_move> Known;
  for (const auto &[Service, Move] : Moves)
    Known.push_back(Move);
  return Known;
}

void mesh_state::applyMove(const service_move &Move, const node_id &From) {
  const service_name &Service = Move.Rule.Service;
  auto Found = Moves.find(Service);
  if (Found != Moves.end() && Found->second.Order > Move.Order)
    return;
  bool IsKnown = Found != Moves.end() && Found->second.Order == Move.Order;
  if (IsKnown && !join(Found->second, Move.Progress))
    return;
  if (!IsKnown) {
    Moves[Service] = Move;
    log_event("move_known")
        .add("service", Service)
        .add("move", Move.Rule.Id)
        .add("from", Move.Rule.From)
        .add("to", Move.Rule.To)
        .add("share", Move.Progress.Share);
  }
  rebuild();
  if (OnMoveNews)
    OnMoveNews(Moves[Service], From);
}

bool mesh_state::join(service_move &Known, const move_progress &Progress) {
  move_progress Before = Known.Progress;
  move_progress Joined = chivebeam::join(Before, Progress);
  Known.Progress = Joined;
  bool SameForCalls =
      std::tie(Joined.Phase, Joined.Share, Joined.Recorded, Joined.Step) ==
      std::tie(Before.Phase, Before.Share, Before.Recorded, Before.Step);
  if (SameForCalls)
    return false;
  log_event("move_progress")
      .add("service", Known.Rule.Service)
      .add("move", Joined.Id)
      .add("phase", toString(Joined.Phase))
      .add("share", Joined.Share)
      .add("verdict", toString(Joined.Recorded))
      .add("reason", Joined.Reason);
  return true;
}

std::vector<suspect_event> mesh_state::knownSuspects() const {
  return Suspects.events(currentTime());
}

void mesh_state::applySuspects(const std::vector<suspect_event> &Events,
                               const node_id &From) {
  std::vector<suspect_event> News;
  instant Now = currentTime();
  for (const suspect_event &Event : Events) {
    bool WasRefused = Suspects.refusedFor(Event.Fingerprint, Now).count() > 0;
    if (!Suspects.apply(Event, Now))
      continue;
    News.push_back(Event);
    bool IsRefused = Suspects.refusedFor(Event.Fingerprint, Now).count() > 0;
    if (IsRefused != WasRefused)
      log_event(IsRefused ? "call_quarantined" : "call_cleared")
          .add("fingerprint", toHex(Event.Fingerprint))
          .add("from", From);
  }
  if (!News.empty() && OnSuspectNews)
    OnSuspectNews(News, From);
}

bool mesh_state::peerReported(const node_id &From, const peer_status &Status) {
  noteEra(Status.Era);
  if (OnPeerStatus && !From.empty())
    OnPeerStatus(From, Status);
  // A watcher that reads the store has the newest configuration; other nodes
  // are asked for it only if no watcher delivers it.
  bool AskAtOnce = Status.StoreAge && !Own.Watches;
  return CatchUp.peerReported(Status.Config, configNumber(), currentTime(),
                              AskAtOnce, From);
}

void mesh_state::nodeAnswered(const node_id &Node) {
  Directory.nodeAnswered(Node, currentTime());
}

} // namespace chivebeam
