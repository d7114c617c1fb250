#pragma once

#include <functional>
#include <memory>

#include "base/units.h"
#include "data/disconnect_watcher.h"

namespace chivebeam {

/// Why a call was broken off before its answer was complete.
enum class cancel_reason { none, deadline, caller_gone };

/// Breaks a call off at its deadline or when its caller goes away. Each phase
/// of the call names what must then be stopped. Runs on one io_context; not
/// thread safe.
class call_cancellation {
public:
  using handler = std::function<void()>;

  /// \pre Caller outlives the guard.
  call_cancellation(const asio::any_io_executor &Executor,
                    disconnect_watcher &Caller, instant Deadline, instant Now);
  ~call_cancellation();
  call_cancellation(const call_cancellation &) = delete;
  call_cancellation &operator=(const call_cancellation &) = delete;

  /// Sets what stops the present phase; null when nothing is to be stopped.
  void onCancel(handler Stop) { State->Stop = std::move(Stop); }
  /// Watches the caller while nothing is read from it.
  void watchCaller();
  /// Ends the watch; call before reading from the caller.
  void stopWatching() { Caller.stop(); }

  cancel_reason cancelReason() const { return State->Reason; }
  bool active() const { return State->Reason == cancel_reason::none; }
  instant deadline() const { return Deadline; }

private:
  struct state {
    cancel_reason Reason = cancel_reason::none;
    handler Stop;
  };

  static void cancel(const std::shared_ptr<state> &State,
                     cancel_reason NewReason);

  disconnect_watcher &Caller;
  instant Deadline;
  asio::steady_timer Timer;
  std::shared_ptr<state> State;
};

} // namespace chivebeam
