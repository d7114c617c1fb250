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

awaitable<bool> call_queue::enter(work_class Class,
                                  const workspace_name &Tenant,
                                  call_guard &Guard) {
  if (!Guard.active())
    co_return false;
  LastCall = LastCall.next();
  call_number Call = LastCall;
  admission_update Change;
  admission_decision Answer = Admission.arrive(
      {Call, Class, Tenant, Guard.deadline()}, currentTime(), Change);
  apply(Change);
  if (Answer != admission_decision::wait)
    co_return Answer == admission_decision::run;
  asio::steady_timer Timer(co_await asio::this_coro::executor,
                           asio::steady_timer::time_point::max());
  waiter Waiter{&Timer};
  Waiting[Call] = &Waiter;
  Guard.onEnd([&Timer] { Timer.cancel(); });
  Guard.watchCaller();
  error_code Ignored;
  co_await Timer.async_wait(orError(Ignored));
  Guard.onEnd(nullptr);
  Guard.stopWatching();
  if (Waiting.erase(Call) > 0)
    Admission.abandon(Call);
  if (!Waiter.Started || Guard.active())
    co_return Waiter.Started;
  leaveUnused(); // the slot came in the same moment as the end of the call
  co_return false;
}

void call_queue::leave(microseconds Duration, bool Overloaded) {
  apply(Admission.release(Duration, Overloaded, currentTime()));
}

void call_queue::leaveUnused() {
  apply(Admission.releaseUnused(currentTime()));
}

void call_queue::apply(const admission_update &Change) {
  for (call_number Call : Change.Started)
    wake(Call, true);
  for (call_number Call : Change.Refused)
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
