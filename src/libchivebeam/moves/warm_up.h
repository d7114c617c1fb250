#pragma once

#include "base/units.h"

namespace chivebeam {

/// Tells whether a worker is still warming up: its first calls take longer
/// because of caches and connections, so their latency says nothing of its
/// version. Failures count all the same. The rule is the same for both
/// versions. Not thread safe.
class warm_up {
public:
  void callEnded(instant Now) {
    if (Calls++ == 0)
      FirstCall = Now;
  }

  /// True until the worker has run some calls over some time, but never long.
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
