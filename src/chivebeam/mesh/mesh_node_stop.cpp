// How a node stops: until when it serves calls, and when its process ends.
#include "mesh/mesh_node.h"

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr milliseconds AnswerCheckInterval{20};
/// The node stops after no call has been in progress for this time.
constexpr milliseconds IdleTimeBeforeExit{300};
/// Interval at which a stopping node checks whether it has work left.
constexpr milliseconds WorkCheckInterval{100};

} // namespace

void mesh_node::beginStop() {
  if (Stopping)
    return;
  Stopping = true;
  stop_schedule Schedule(currentTime(), Settings.Grace);
  Callers.beginDraining();
  Router.beginStop(Schedule);
  Home.beginStop(Schedule);
  MoveExecutor.resign();
  Registrar.resign();
  log_event("node_stopping")
      .add("node", Settings.Node)
      .add("open_calls", Router.openCalls())
      .add("running_calls", Home.active());
  asio::co_spawn(Context, stop(Schedule), asio::detached);
}

awaitable<void> mesh_node::stop(stop_schedule Schedule) {
  co_await sleepFor(Schedule.callersGoneAt() - currentTime());
  // Calls that were accepted so far can still end within the grace period.
  // Other nodes use the backend server until here and then choose another one.
  Router.close();
  Workers.leave();
  Home.stop();
  instant IdleSince;
  while (currentTime() < Schedule.runUntil()) {
    Callers.closeIdle();
    instant Now = currentTime();
    bool IsIdle = !hasWork();
    if (!IsIdle)
      IdleSince = instant();
    else if (IdleSince == instant())
      IdleSince = Now;
    if (IsIdle && Now >= IdleSince + IdleTimeBeforeExit)
      break;
    co_await sleepFor(WorkCheckInterval);
  }
  co_await endOpenCalls(Schedule.answerUntil());
  log_event("node_stopped")
      .add("node", Settings.Node)
      .add("open_calls", Router.openCalls());
  OnStopped();
}

awaitable<void> mesh_node::endOpenCalls(instant AnswerDeadline) {
  if (std::size_t Ended = Router.endOpenCalls(); Ended > 0)
    log_event("open_calls_ended").add("calls", Ended);
  // Calls of other nodes may run as long.
  while ((Callers.isBusy() || Home.active() > 0 || Hub.isServing()) &&
         currentTime() < AnswerDeadline)
    co_await sleepFor(AnswerCheckInterval);
}

bool mesh_node::hasWork() const {
  return Router.openCalls() > 0 || Home.active() > 0 || Hub.isServing() ||
         Callers.isBusy() || Workers.owesLeavingNote();
}

} // namespace chivebeam
