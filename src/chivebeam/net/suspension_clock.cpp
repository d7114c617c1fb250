#include "net/suspension_clock.h"

#include <time.h>

namespace chivebeam {

namespace {

microseconds clockNow(clockid_t Clock) {
  timespec Time{};
  ::clock_gettime(Clock, &Time);
  return std::chrono::duration_cast<microseconds>(
      seconds(Time.tv_sec) + std::chrono::nanoseconds(Time.tv_nsec));
}

/// Returns the total time that this machine has been suspended since it booted.
microseconds suspendedTime() {
  return clockNow(CLOCK_BOOTTIME) - clockNow(CLOCK_MONOTONIC);
}

} // namespace

suspension_clock::suspension_clock() : Last(suspendedTime()) {}

microseconds suspension_clock::takeNew() {
  microseconds Suspended = suspendedTime();
  microseconds New = Suspended - Last;
  Last = Suspended;
  return New;
}

} // namespace chivebeam
