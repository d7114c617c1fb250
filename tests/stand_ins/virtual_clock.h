#pragma once

#include <map>
#include <memory>

#include "net/event_loop_clock.h"

namespace chivebeam::stand_ins {

/// Virtual time that advances only when a test requests it. Shared by the event
/// loops of one test, which run on one io_context.
class virtual_time {
public:
  explicit virtual_time(asio::io_context &Context) : Context(Context) {}

  instant now() const { return Now; }
  /// Advances the time by Duration and runs the timers that expire, in order.
  void advance(microseconds Duration);
  /// Runs all ready handlers without advancing the time.
  void settle();
  /// Advances the time without running anything, like a paused process.
  void pauseFor(microseconds Duration) { Now += Duration; }
  /// Sleeps for Duration of virtual time; cancelling Timer ends the sleep
  /// early.
  awaitable<void> sleep(microseconds Duration,
                        std::shared_ptr<asio::steady_timer> Timer);
  std::shared_ptr<asio::steady_timer> makeTimer();

private:
  asio::io_context &Context;
  instant Now{seconds(1'000'000)};
  std::multimap<instant, std::weak_ptr<asio::steady_timer>> PendingTimers;
};

/// Clock of one event loop in virtual time.
class virtual_event_loop_clock : public event_loop_clock {
public:
  /// \pre Time outlives the clock.
  explicit virtual_event_loop_clock(virtual_time &Time)
      : Time(Time), WaitTimer(Time.makeTimer()) {}

  instant now() const override { return Time.now(); }
  awaitable<void> sleep(microseconds Duration) override;
  awaitable<void> wait(microseconds Duration) override;
  void wake() override { WaitTimer->cancel(); }

private:
  virtual_time &Time;
  std::shared_ptr<asio::steady_timer> WaitTimer;
};

} // namespace chivebeam::stand_ins
