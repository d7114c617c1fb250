#pragma once

#include <map>

#include "data/call_cancellation.h"
#include "routing/admission.h"

namespace chivebeam {

/// Queue of calls that wait for a slot of the backend server. Suspends and
/// resumes calls as the admission decides. Runs on one io_context; not thread
/// safe.
class call_queue {
public:
  /// Sets the number of slots. With zero slots all waiting calls are refused.
  void setSlots(unsigned Slots);
  /// Returns the number of free slots, or minus the number of waiting calls.
  int freeSlots() const;
  /// Returns the time after which a refused call should be sent again.
  seconds retryAfter() const;

  /// Waits for a slot. Returns true if the call has one; false if the call is
  /// refused, its deadline passes or its caller disconnects. A call without a
  /// slot must not run.
  awaitable<bool> acquireSlot(work_class Class, const workspace_name &Workspace,
                              call_cancellation &Cancellation);
  /// Frees the slot of a call that ran. Overloaded: the backend server refused
  /// the call.
  void releaseSlot(microseconds Duration, bool Overloaded);
  /// Frees the slot of a call that was cancelled or never sent.
  void releaseUnusedSlot();

private:
  struct waiter {
    asio::steady_timer *Timer = nullptr;
    bool Started = false;
  };

  void apply(const admission_update &Update);
  void wake(call_number Call, bool Start);

  admission Admission;
  call_number LastCall;
  std::map<call_number, waiter *> Waiting;
};

} // namespace chivebeam
