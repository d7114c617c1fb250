#include "stand_ins/virtual_clock.h"

namespace chivebeam::stand_ins {

std::shared_ptr<asio::steady_timer> virtual_time::makeTimer() {
  return std::make_shared<asio::steady_timer>(
      Context, asio::steady_timer::time_point::max());
}

void virtual_time::settle() {
  Context.restart();
  while (Context.poll() > 0)
    Context.restart();
}

void virtual_time::advance(microseconds Duration) {
  instant End = Now + Duration;
  settle();
  while (!PendingTimers.empty() && PendingTimers.begin()->first <= End) {
    auto First = PendingTimers.begin();
    Now = std::max(Now, First->first);
    std::shared_ptr<asio::steady_timer> Timer = First->second.lock();
    PendingTimers.erase(First);
    if (Timer)
      Timer->cancel();
    settle();
  }
  Now = End;
}

awaitable<void> virtual_time::sleep(microseconds Duration,
                                    std::shared_ptr<asio::steady_timer> Timer) {
  Timer->expires_at(asio::steady_timer::time_point::max());
  // An earlier entry of the same timer must not end the new sleep.
  std::erase_if(PendingTimers, [&](const auto &Entry) {
    return Entry.second.lock() == Timer;
  });
  PendingTimers.emplace(Now + Duration, Timer);
  error_code Ignored;
  co_await Timer->async_wait(orError(Ignored));
}

awaitable<void> virtual_event_loop_clock::sleep(microseconds Duration) {
  co_await Time.sleep(Duration, Time.makeTimer());
}

awaitable<void> virtual_event_loop_clock::wait(microseconds Duration) {
  co_await Time.sleep(Duration, WaitTimer);
}

} // namespace chivebeam::stand_ins
