#pragma once

#include <map>

#include "data/call_cancellation.h"
#include "routing/admission.h"

namespace chivebeam {

/// Lets calls wait for a slot of the backend server: joins the admission
/// decisions with timers. Runs on one io_context; not thread safe.
class call_queue {
public:
  /// With no slots, calls that wait are refused at once.
  void setSlots(unsigned Slots);
  /// Returns the free slots; below zero, so many calls wait.
  int freeSlots() const;
  /// Returns after what time a refused call should be sent again.
  seconds retryAfter() const;

  /// Returns true with a slot taken; false if the call is refused, its time
  /// is up or its caller goes away. A call that got false never runs.
  awaitable<bool> acquireSlot(work_class Class, const tenant_name &Workspace,
                              call_cancellation &Cancellation);
  /// Frees the slot of a call that ran.
  void releaseSlot(microseconds Duration, bool Overloaded);
  /// Frees the slot of a call that was broken off or never sent.
  void releaseUnusedSlot();

private:
  struct waiter {
    asio::steady_timer *Timer = nullptr;
    bool Started = false;
  };

  void apply(const admission_change &Update);
  void wake(call_number Call, bool Start);

  admission Admission;
  call_number LastCall;
  std::map<call_number, waiter *> Waiting;
};

} // namespace chivebeam
