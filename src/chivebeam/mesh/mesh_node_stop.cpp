// How a node stops: until when it serves calls, and when its process ends.
#include "mesh/mesh_node.h"

#include <algorithm>

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// Callers check the readiness of a node every second and stop using it after
/// two failed checks.
constexpr milliseconds CallerDrainTime{2'800};
/// Part of the grace period that is used for draining; the rest is left for the
/// exit of the process.
constexpr int UsableGraceParts = 10;
/// Calls that are still open then are answered until this part.
constexpr int AnswerGraceParts = 11;
constexpr int GraceParts = 12;
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
  Callers.beginDraining();
  MoveExecutor.resign();
  Registrar.resign();
  log_event("node_stopping")
      .add("node", Settings.Node)
      .add("open_calls", Router.openCalls())
      .add("running_calls", Home.active());
  asio::co_spawn(Context, stop(), asio::detached);
}

awaitable<void> mesh_node::stop() {
  instant Started = currentTime();
  instant StopDeadline =
      Started + Settings.Grace * UsableGraceParts / GraceParts;
  instant AnswerDeadline =
      Started + Settings.Grace * AnswerGraceParts / GraceParts;
  co_await sleepFor(
      std::min<microseconds>(CallerDrainTime, StopDeadline - Started));
  // Calls that were accepted so far can still end within the grace period.
  // Other nodes use the backend server until here and then choose another one.
  Router.close(AnswerDeadline);
  Workers.leave();
  Home.stop();
  instant IdleSince;
  while (currentTime() < StopDeadline) {
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
  co_await endOpenCalls(AnswerDeadline);
  log_event("node_stopped")
      .add("node", Settings.Node)
      .add("open_calls", Router.openCalls());
  OnStopped();
}

awaitable<void> mesh_node::endOpenCalls(instant AnswerDeadline) {
  if (std::size_t Ended = Router.endOpenCalls(AnswerDeadline); Ended > 0)
    log_event("open_calls_ended").add("calls", Ended);
  while (Callers.isBusy() && currentTime() < AnswerDeadline)
    co_await sleepFor(AnswerCheckInterval);
}

bool mesh_node::hasWork() const {
  return Router.openCalls() > 0 || Home.active() > 0 || Hub.isServing() ||
         Callers.isBusy() || Workers.owesLeavingNote();
}

} // namespace chivebeam
