#pragma once

#include <algorithm>

#include "base/units.h"

namespace chivebeam {

// Messages between nodes carry times relative to their sending, so that clocks
// need not agree. The functions are thread safe.

/// Longest time that one call may have; larger relative times are clamped to
/// it.
inline constexpr microseconds MaxRemainingTime = std::chrono::minutes(10);

inline std::int64_t microsecondsUntil(instant Time, instant Now) {
  return std::clamp(Time - Now, -MaxRemainingTime, MaxRemainingTime).count();
}

inline instant timeAfter(std::int64_t Remaining, instant Now) {
  return Now + std::clamp(microseconds(Remaining), -MaxRemainingTime,
                          MaxRemainingTime);
}

} // namespace chivebeam
