#include "data/call_cancellation.h"

namespace chivebeam {

call_cancellation::call_cancellation(const asio::any_io_executor &Executor,
                                     disconnect_watcher &CallerWatcher,
                                     instant CallDeadline, instant Now)
    : Caller(CallerWatcher), Deadline(CallDeadline),
      Timer(Executor, CallDeadline - Now), State(std::make_shared<state>()) {
  Timer.async_wait([Shared = State](error_code Code) {
    if (!Code)
      cancel(Shared, cancel_reason::deadline);
  });
}

call_cancellation::~call_cancellation() {
  State->Stop = nullptr;
  Caller.stop();
}

void call_cancellation::watchCaller() {
  if (active())
    Caller.start(
        [Shared = State] { cancel(Shared, cancel_reason::caller_gone); });
}

void call_cancellation::cancel(const std::shared_ptr<state> &State,
                               cancel_reason NewReason) {
  if (State->Reason != cancel_reason::none)
    return;
  State->Reason = NewReason;
  if (State->Stop)
    State->Stop();
}

} // namespace chivebeam
