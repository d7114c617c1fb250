// How a home node follows the state of its backend server: its starts, whether
// it is cold, and whether its failure domain is evacuated.
#include "mesh/home_runner.h"

#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// Connections that the backend server closes within this time break together.
constexpr milliseconds BreakTogetherTime{100};

} // namespace

void home_runner::updateWorker(const worker_report &Report) {
  bool IsNewProcess = !Worker || Worker->Start != Report.Start;
  bool WasCold = isServerCold();
  Connections.setServer(Report.Start, Report.At);
  if (IsNewProcess && Worker)
    serverEnded(Worker->Start, currentTime());
  if (IsNewProcess) {
    Notices.serverStarted(Report.Start);
    Queue.coldStart().serverStarted(currentTime());
    Queue.resetServiceTimes();
    Failures.reset();
    Evidence.clear();
  }
  Worker = Report;
  instant Now = currentTime();
  if (IsNewProcess) {
    logColdStart("start", WasCold);
    apply(Queue.setRateLimit(std::nullopt, Now));
  }
  updateSlots(Now);
}

void home_runner::updateSlots(instant Now) {
  bool AcceptsCalls = Worker && Worker->Worker.State == worker_state::ready &&
                      !Stopping && !Evacuated;
  apply(Queue.setSlots(AcceptsCalls ? Worker->Worker.Slots : 0, Now));
}

std::string home_runner::reasonNotForWorker() const {
  if (Evacuated)
    return "the failure domain of this node is evacuated";
  return Stop ? "this node is about to stop"
              : "the expected backend server is not beside this node";
}

void home_runner::setEvacuated(bool IsEvacuated) {
  if (std::exchange(Evacuated, IsEvacuated) == IsEvacuated)
    return;
  instant Now = currentTime();
  // Servers that got no calls may have become cold.
  if (!Evacuated) {
    bool WasCold = isServerCold();
    Queue.coldStart().assumeCold(Now);
    logColdStart("evacuation", WasCold);
  }
  updateSlots(Now);
  if (Evacuated)
    endOffers(reasonNotForWorker());
}

void home_runner::setColdStart(const cold_start_limits &Limits) {
  instant Now = currentTime();
  bool WasCold = isServerCold();
  Queue.coldStart().setLimits(Limits, Now);
  logColdStart("configuration", WasCold);
  apply(Queue.startDue(Now));
}

void home_runner::coldStartReported(instant WarmAt) {
  instant Now = currentTime();
  bool WasCold = isServerCold();
  Queue.coldStart().reported(WarmAt, Now);
  logColdStart("report", WasCold);
  apply(Queue.startDue(Now));
}

void home_runner::serverMayHaveEnded() {
  bool WasCold = isServerCold();
  Queue.coldStart().mayHaveEnded(currentTime());
  logColdStart("connection", WasCold);
}

void home_runner::connectionBroke() {
  instant Now = currentTime();
  if (Now < std::exchange(ConnectionBrokeAt, Now) + BreakTogetherTime)
    serverMayHaveEnded();
}

void home_runner::logColdStart(std::string_view Why, bool WasCold) {
  bool IsCold = isServerCold();
  if (IsCold == WasCold || !Worker)
    return;
  log_event("server_cold")
      .add("worker", Worker->Start.Worker)
      .add("cold", IsCold)
      .add("why", Why)
      .add("sent_4s", Notices.sentRecently(currentTime()));
}

} // namespace chivebeam
