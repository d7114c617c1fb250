#pragma once

#include <map>
#include <memory>

#include "net/event_loop_clock.h"

namespace chivebeam::stand_ins {

/// Time that passes only when a test says so. Shared by the duties of one
/// test, which run on one io_context.
class virtual_time {
public:
  explicit virtual_time(asio::io_context &Context) : Context(Context) {}

  instant now() const { return Now; }
  /// Lets time pass, running on the way whatever falls due, in order.
  void advance(microseconds Duration);
  /// Runs what is ready without letting time pass.
  void settle();
  /// Jumps without running anything, as for a paused process.
  void pauseFor(microseconds Duration) { Now += Duration; }
  /// Sleeps; Timer may be cancelled to end the sleep early.
  awaitable<void> sleep(microseconds Duration,
                        std::shared_ptr<asio::steady_timer> Timer);
  std::shared_ptr<asio::steady_timer> makeTimer();

private:
  asio::io_context &Context;
  instant Now{seconds(1'000'000)};
  std::multimap<instant, std::weak_ptr<asio::steady_timer>> Due;
};

/// The clock of one duty in virtual time.
class virtual_duty_clock : public event_loop_clock {
public:
  /// \pre Time outlives the clock.
  explicit virtual_duty_clock(virtual_time &Time)
      : Time(Time), Waiting(Time.makeTimer()) {}

  instant now() const override { return Time.now(); }
  awaitable<void> sleep(microseconds Duration) override;
  awaitable<void> wait(microseconds Duration) override;
  void wake() override { Waiting->cancel(); }

private:
  virtual_time &Time;
  std::shared_ptr<asio::steady_timer> Waiting;
};

} // namespace chivebeam::stand_ins
