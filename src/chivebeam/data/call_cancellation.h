#pragma once

#include <functional>
#include <memory>

#include "base/units.h"
#include "data/disconnect_watcher.h"

namespace chivebeam {

/// Why a call was cancelled before its answer was complete.
enum class cancel_reason { none, deadline, caller_gone };

/// Cancels a call at its deadline or when its caller disconnects. Each phase of
/// the call sets the handler that stops its pending operation. Runs on one
/// io_context; not thread safe.
class call_cancellation {
public:
  using handler = std::function<void()>;

  /// Starts the deadline timer. \pre Caller outlives this object.
  call_cancellation(const asio::any_io_executor &Executor,
                    disconnect_watcher &Caller, instant Deadline, instant Now);
  ~call_cancellation();
  call_cancellation(const call_cancellation &) = delete;
  call_cancellation &operator=(const call_cancellation &) = delete;

  /// Sets the handler that stops the current phase; null if there is nothing
  /// to stop.
  void onCancel(handler Stop) { State->Stop = std::move(Stop); }
  /// Cancels the call if the caller disconnects while nothing is read from it.
  void watchCaller();
  /// Stops watching the caller. Call before reading from the caller.
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
