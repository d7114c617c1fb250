#pragma once

#include "base/units.h"

namespace chivebeam {

/// Measures how long the machine is suspended, which the steady clock does not
/// count. Not thread safe.
class suspension_clock {
public:
  suspension_clock();
  /// Returns the time of suspension since the last call or the construction.
  microseconds takeNew();

private:
  microseconds Last;
};

} // namespace chivebeam
