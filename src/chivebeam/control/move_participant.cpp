#include "control/move_participant.h"

#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr milliseconds ReportInterval{250};
/// Report interval after a failed call. It is shorter, because the owner of the
/// move may have to stop it.
constexpr milliseconds UrgentReportInterval{50};

} // namespace

move_participant::move_participant(node_id SelfNode, incarnation Incarnation,
                                   const move_decider &Decider,
                                   membership &Membership, outputs Sinks)
    : Self(std::move(SelfNode)), Members(Membership), Outputs(std::move(Sinks)),
      Evidence(Self, Incarnation), Coordinator(Self, Decider) {}

void move_participant::setWorker(const worker_record &NewWorker) {
  Worker = NewWorker;
  Evidence.setVersion(Worker.Service, Worker.Version);
}

void move_participant::addEvidence(const evidence_report &Report, instant Now) {
  Coordinator.addEvidence(Report, Now);
}

bool move_participant::record(const call_outcome &Outcome, instant Now) {
  if (!Outcome.AtEntry) {
    Evidence.record(Outcome.Route, Outcome.Failed, Outcome.Duration, Now);
    FailedSinceReport |= Outcome.Failed;
    return false;
  }
  std::optional<std::string> Reason =
      CircuitBreaker.record(Outcome.Service, Outcome.Version, Outcome.Failed);
  return Reason && takeBack(Outcome.Service, std::move(*Reason), Now);
}

bool move_participant::takeBack(const service_name &Service, std::string Reason,
                                instant Now) {
  auto Rule = Rules.find(Service);
  if (Rule == Rules.end())
    return false;
  auto Found = Members.moves().find(Rule->second.Id);
  if (Found == Members.moves().end())
    return false;
  move_progress Progress = Found->second;
  Progress.Phase = move_phase::taken_back;
  Progress.DecidedAt = Now;
  Progress.Reason = std::move(Reason);
  log_event("local_brake")
      .add("move", Progress.Id)
      .add("reason", Progress.Reason);
  return Members.offerMove(Progress);
}

void move_participant::updateMoveRules(const snapshot &Config) {
  Rules.clear();
  for (const move_rule &Rule : Config.moves()) {
    Rules[Rule.Service] = Rule;
    auto Found = Members.moves().find(Rule.Id);
    if (Found != Members.moves().end() && matchesTarget(Found->second, Rule))
      CircuitBreaker.updateProgress(Rule, Found->second);
  }
}

bool move_participant::tick(const snapshot &Config, instant Now) {
  bool Changed = runCoordinator(Config, Now);
  updateMoveRules(Config);
  microseconds Interval =
      FailedSinceReport ? UrgentReportInterval : ReportInterval;
  if (Now >= LastReport + Interval)
    sendReport(Config, Now);
  return Changed;
}

bool move_participant::runCoordinator(const snapshot &Config, instant Now) {
  coordinator_result Result =
      Coordinator.tick(Config, Members.table(), Members.moves(), Now);
  for (const move_progress &Progress : Result.Changed) {
    log_event("move_step")
        .add("move", Progress.Id)
        .add("phase", toString(Progress.Phase))
        .add("step", Progress.Step)
        .add("share", Progress.Share)
        .add("reason", Progress.Reason);
    Members.offerMove(Progress);
  }
  for (verdict_request &Request : Result.Verdicts)
    Outputs.Record({Request.Progress, std::move(Request.Journal)});
  return !Result.Changed.empty();
}

void move_participant::sendReport(const snapshot &Config, instant Now) {
  if (Worker.State == worker_state::absent)
    return;
  LastReport = Now;
  FailedSinceReport = false;
  const move_rule *Rule = Config.findMoveOf(Worker.Service);
  if (!Rule)
    return;
  evidence_report Report = Evidence.makeReport();
  for (const member_record *Receiver :
       move_coordinator::reportReceivers(*Rule, Members.table())) {
    if (Receiver->Node == Self)
      Coordinator.addEvidence(Report, Now);
    else
      Outputs.Send(Receiver->Peer, Report);
  }
}

} // namespace chivebeam
