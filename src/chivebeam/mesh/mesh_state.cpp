#include "mesh/mesh_state.h"

#include <tuple>

#include "net/clock.h"
#include "telemetry/log_event.h"
#include "wire/compressed_text.h"

namespace chivebeam {

mesh_state::mesh_state(const mesh_settings &MeshSettings,
                       const operator_document_format &Format)
    : Settings(MeshSettings), DocumentFormat(Format) {
  Own.Node = Settings.Node;
  Own.Peer = Settings.Peers;
  Own.Domain = Settings.Domain;
  Directory.offer(Own, false);
}

void mesh_state::rebuild() {
  View = Config
             ? makeMeshView(Config, Directory.records(), Moves, Settings.Domain)
             : nullptr;
  if (OnChange)
    OnChange();
}

void mesh_state::setOwnRecord(home_record Record) {
  Record.Node = Settings.Node;
  Record.Peer = Settings.Peers;
  Record.Domain = Settings.Domain;
  Record.Change = Own.Change + 1;
  Own = std::move(Record);
  Directory.offer(Own, false);
  rebuild();
}

bool mesh_state::offer(const home_record &Record, bool FromStore) {
  // This node is the only source of its own record.
  if (Record.Node == Settings.Node || Record.Node.empty())
    return false;
  if (!Directory.offer(Record, FromStore))
    return false;
  log_event("home_changed")
      .add("node", Record.Node)
      .add("worker", Record.Start.Worker)
      .add("service", Record.Worker.Service)
      .add("version", Record.Worker.Version)
      .add("state", toString(Record.Worker.State))
      .add("node_leaving", Record.NodeLeaving)
      .add("report", Record.Report)
      .add("from", FromStore ? "store" : "peer");
  return true;
}

void mesh_state::applyRecords(const std::vector<home_record> &Records) {
  bool Changed = false;
  for (const home_record &Record : Records)
    Changed = offer(Record, false) || Changed;
  if (Changed)
    rebuild();
}

void mesh_state::applyStoredRecord(const home_record &Record) {
  if (offer(Record, true))
    rebuild();
}

void mesh_state::entryRemoved(const node_id &Node) {
  if (Node != Settings.Node)
    Directory.entryRemoved(Node, currentTime());
}

void mesh_state::keepOnly(const std::vector<node_id> &Nodes) {
  std::vector<node_id> Listed = Nodes;
  Listed.push_back(Settings.Node);
  Directory.keepOnly(Listed, currentTime());
}

void mesh_state::tick(instant Now) {
  Directory.nodeAnswered(Settings.Node, Now);
  if (Directory.expire(Now))
    rebuild();
}

std::vector<home_record> mesh_state::knownRecords() const {
  return Directory.records();
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

void mesh_state::applyMove(const service_move &Move) {
  const service_name &Service = Move.Rule.Service;
  auto Found = Moves.find(Service);
  if (Found != Moves.end() && Found->second.Order > Move.Order)
    return;
  if (Found != Moves.end() && Found->second.Order == Move.Order)
    return join(Found->second, Move.Progress);
  Moves[Service] = Move;
  log_event("move_known")
      .add("service", Service)
      .add("move", Move.Rule.Id)
      .add("from", Move.Rule.From)
      .add("to", Move.Rule.To)
      .add("share", Move.Progress.Share);
  rebuild();
}

void mesh_state::join(service_move &Known, const move_progress &Progress) {
  move_progress Before = Known.Progress;
  move_progress Joined = chivebeam::join(Before, Progress);
  Known.Progress = Joined;
  bool SameForCalls =
      std::tie(Joined.Phase, Joined.Share, Joined.Recorded, Joined.Step) ==
      std::tie(Before.Phase, Before.Share, Before.Recorded, Before.Step);
  if (SameForCalls)
    return;
  log_event("move_progress")
      .add("service", Known.Rule.Service)
      .add("move", Joined.Id)
      .add("phase", toString(Joined.Phase))
      .add("share", Joined.Share)
      .add("verdict", toString(Joined.Recorded))
      .add("reason", Joined.Reason);
  rebuild();
}

bool mesh_state::peerReportedConfig(config_number Number) {
  return CatchUp.peerReported(Number, configNumber(), currentTime());
}

void mesh_state::nodeAnswered(const node_id &Node) {
  Directory.nodeAnswered(Node, currentTime());
}

} // namespace chivebeam
