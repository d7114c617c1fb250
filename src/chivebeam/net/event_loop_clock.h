#pragma once

#include "base/units.h"
#include "net/asio_types.h"

namespace chivebeam {

/// Clock and timers of an event loop. Tests use a virtual clock instead, so
/// that they don't wait. Used on one io_context; not thread safe.
class event_loop_clock {
public:
  virtual ~event_loop_clock() = default;
  virtual instant now() const = 0;
  virtual awaitable<void> sleep(microseconds Duration) = 0;
  /// Sleeps until wake() is called, but not longer than Duration. Only one wait
  /// may be pending at a time.
  virtual awaitable<void> wait(microseconds Duration) = 0;
  virtual void wake() = 0;
};

/// Uses currentTime() and Asio timers.
class system_event_loop_clock : public event_loop_clock {
public:
  explicit system_event_loop_clock(asio::io_context &Context)
      : Timer(Context) {}

  instant now() const override;
  awaitable<void> sleep(microseconds Duration) override;
  awaitable<void> wait(microseconds Duration) override;
  void wake() override { Timer.cancel(); }

private:
  asio::steady_timer Timer;
};

} // namespace chivebeam
