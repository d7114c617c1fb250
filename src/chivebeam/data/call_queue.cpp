#include "data/call_queue.h"

#include "net/clock.h"

namespace chivebeam {

void call_queue::setSlots(unsigned Slots) {
  apply(Admission.setSlots(Slots, currentTime()));
}

int call_queue::freeSlots() const {
  return static_cast<int>(Admission.freeSlots()) -
         static_cast<int>(Admission.queued());
}

seconds call_queue::retryAfter() const {
  return std::chrono::ceil<seconds>(Admission.expectedWait() + microseconds(1));
}

awaitable<bool> call_queue::acquireSlot(work_class Class,
                                        const workspace_name &Workspace,
                                        call_cancellation &Cancellation) {
  if (!Cancellation.active())
    co_return false;
  LastCall = LastCall.next();
  call_number Call = LastCall;
  admission_update Update;
  admission_decision Decision = Admission.arrive(
      {Call, Class, Workspace, Cancellation.deadline()}, currentTime(), Update);
  apply(Update);
  if (Decision != admission_decision::wait)
    co_return Decision == admission_decision::run;
  asio::steady_timer Timer(co_await asio::this_coro::executor,
                           asio::steady_timer::time_point::max());
  waiter Waiter{&Timer};
  Waiting[Call] = &Waiter;
  Cancellation.onCancel([&Timer] { Timer.cancel(); });
  Cancellation.watchCaller();
  error_code Ignored;
  co_await Timer.async_wait(orError(Ignored));
  Cancellation.onCancel(nullptr);
  Cancellation.stopWatching();
  if (Waiting.erase(Call) > 0)
    Admission.abandon(Call);
  if (!Waiter.Started || Cancellation.active())
    co_return Waiter.Started;
  // The call was cancelled after its slot was granted but before it resumed.
  releaseUnusedSlot();
  co_return false;
}

void call_queue::releaseSlot(microseconds Duration, bool Overloaded) {
  apply(Admission.release(Duration, Overloaded, currentTime()));
}

void call_queue::releaseUnusedSlot() {
  apply(Admission.releaseUnused(currentTime()));
}

void call_queue::apply(const admission_update &Update) {
  for (call_number Call : Update.Started)
    wake(Call, true);
  for (call_number Call : Update.Refused)
    wake(Call, false);
}

void call_queue::wake(call_number Call, bool Start) {
  auto Found = Waiting.find(Call);
  if (Found == Waiting.end())
    return;
  waiter &Waiter = *Found->second;
  Waiting.erase(Found);
  Waiter.Started = Start;
  Waiter.Timer->cancel();
}

} // namespace chivebeam
