#include "control/move_link.h"

#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr milliseconds ReportInterval{250};
/// A failure is reported sooner, since the owner may be about to stop the move.
constexpr milliseconds UrgentReportInterval{50};

} // namespace

move_link::move_link(node_id SelfNode, incarnation Life,
                     const move_decider &Decider, membership &Membership,
                     outputs Sinks)
    : Self(std::move(SelfNode)), Members(Membership), Outputs(std::move(Sinks)),
      Evidence(Self, Life), Conductor(Self, Decider) {}

void move_link::setWorker(const worker_record &NewWorker) {
  Worker = NewWorker;
  Evidence.setVersion(Worker.Service, Worker.Version);
}

void move_link::addEvidence(const evidence_report &Report, instant Now) {
  Conductor.addEvidence(Report, Now);
}

bool move_link::record(const call_outcome &Outcome, instant Now) {
  if (!Outcome.AtEntry) {
    Evidence.record(Outcome.Route, Outcome.Failed, Outcome.Duration, Now);
    FailedSinceReport |= Outcome.Failed;
    return false;
  }
  std::optional<std::string> Reason =
      Brake.record(Outcome.Service, Outcome.Version, Outcome.Failed);
  return Reason && takeBack(Outcome.Service, std::move(*Reason), Now);
}

bool move_link::takeBack(const service_name &Service, std::string Reason,
                         instant Now) {
  auto Rule = Rules.find(Service);
  if (Rule == Rules.end())
    return false;
  auto Known = Members.moves().find(Rule->second.Id);
  if (Known == Members.moves().end())
    return false;
  move_progress Progress = Known->second;
  Progress.Phase = move_phase::taken_back;
  Progress.DecidedAt = Now;
  Progress.Reason = std::move(Reason);
  log_event("local_brake")
      .add("move", Progress.Id)
      .add("reason", Progress.Reason);
  return Members.offerMove(Progress);
}

void move_link::followMoves(const snapshot &Config) {
  Rules.clear();
  for (const move_rule &Rule : Config.moves()) {
    Rules[Rule.Service] = Rule;
    auto Known = Members.moves().find(Rule.Id);
    if (Known != Members.moves().end() && matchesTarget(Known->second, Rule))
      Brake.updateProgress(Rule, Known->second);
  }
}

bool move_link::tick(const snapshot &Config, instant Now) {
  bool Changed = conduct(Config, Now);
  followMoves(Config);
  microseconds Interval =
      FailedSinceReport ? UrgentReportInterval : ReportInterval;
  if (Now >= LastReport + Interval)
    report(Config, Now);
  return Changed;
}

bool move_link::conduct(const snapshot &Config, instant Now) {
  coordinator_result Turn =
      Conductor.tick(Config, Members.table(), Members.moves(), Now);
  for (const move_progress &Progress : Turn.Changed) {
    log_event("move_step")
        .add("move", Progress.Id)
        .add("phase", toString(Progress.Phase))
        .add("step", Progress.Step)
        .add("share", Progress.Share)
        .add("reason", Progress.Reason);
    Members.offerMove(Progress);
  }
  for (verdict_request &Request : Turn.Verdicts)
    Outputs.Record({Request.Progress, std::move(Request.Journal)});
  return !Turn.Changed.empty();
}

void move_link::report(const snapshot &Config, instant Now) {
  if (Worker.State == worker_state::absent)
    return;
  LastReport = Now;
  FailedSinceReport = false;
  const move_rule *Rule = Config.findMoveOf(Worker.Service);
  if (!Rule)
    return;
  evidence_report Report = Evidence.makeReport();
  for (const member_record *Owner :
       move_coordinator::reportReceivers(*Rule, Members.table())) {
    if (Owner->Node == Self)
      Conductor.addEvidence(Report, Now);
    else
      Outputs.Send(Owner->Peer, Report);
  }
}

} // namespace chivebeam
