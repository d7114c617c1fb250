#include "net/event_loop_clock.h"

#include "net/clock.h"

namespace chivebeam {

instant system_event_loop_clock::now() const { return currentTime(); }

awaitable<void> system_event_loop_clock::sleep(microseconds Duration) {
  return sleepFor(Duration);
}

awaitable<void> system_event_loop_clock::wait(microseconds Duration) {
  Timer.expires_after(Duration);
  error_code Ignored;
  co_await Timer.async_wait(orError(Ignored));
}

} // namespace chivebeam
