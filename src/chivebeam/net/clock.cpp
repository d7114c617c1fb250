#include "net/clock.h"

namespace chivebeam {

instant currentTime() {
  using std::chrono::floor;
  using std::chrono::steady_clock;
  static const instant WallStart =
      floor<microseconds>(std::chrono::system_clock::now());
  static const steady_clock::time_point SteadyStart = steady_clock::now();
  return WallStart + floor<microseconds>(steady_clock::now() - SteadyStart);
}

} // namespace chivebeam
