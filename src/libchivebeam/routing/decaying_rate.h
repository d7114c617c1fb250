#pragma once

#include <algorithm>
#include <cmath>

#include "base/units.h"

namespace chivebeam {

/// A rate per second with exponential decay: the weight of an amount halves
/// with each half-life. A plain value; not thread safe.
class decaying_rate {
public:
  explicit decaying_rate(microseconds HalfLife) : HalfLife(HalfLife) {}

  void add(double Amount, instant Now) {
    Sum = Sum * decayFactor(Now) + Amount;
    UpdatedAt = Now;
  }
  double perSecond(instant Now) const {
    double MeanAge = static_cast<double>(HalfLife.count()) / 1e6 / std::log(2);
    return Sum * decayFactor(Now) / MeanAge;
  }

private:
  double decayFactor(instant Now) const {
    double Age = static_cast<double>((Now - UpdatedAt).count());
    return std::exp2(-std::max(Age, 0.0) /
                     static_cast<double>(HalfLife.count()));
  }

  microseconds HalfLife;
  double Sum = 0;
  instant UpdatedAt;
};

} // namespace chivebeam
