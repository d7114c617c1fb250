#pragma once

#include "base/units.h"

namespace chivebeam {

/// Detects whether a worker is still warming up. Its first calls take longer
/// because caches and connections are cold, so their latency is no evidence on
/// its version. Failures during warm-up do count. The same rule applies to both
/// versions. Not thread safe.
class warm_up {
public:
  void callEnded(instant Now) {
    if (Calls++ == 0)
      FirstCall = Now;
  }

  /// True until the worker has run MinCalls calls and MinTime has passed since
  /// its first call, but at most for MaxTime after it.
  bool isActive(instant Now) const {
    if (Calls == 0 || Now < FirstCall + MinTime)
      return true;
    return Calls < MinCalls && Now < FirstCall + MaxTime;
  }

private:
  static constexpr seconds MinTime{10};
  static constexpr seconds MaxTime{30};
  static constexpr unsigned MinCalls = 10;

  instant FirstCall;
  std::uint64_t Calls = 0;
};

} // namespace chivebeam
