#pragma once

#include <algorithm>
#include <cmath>

#include "base/units.h"

namespace chivebeam {

/// The ratio of hits among recent events, with exponential decay: the weight of
/// an event halves with each half-life. A plain value; not thread safe.
class decaying_ratio {
public:
  explicit decaying_ratio(microseconds HalfLife) : HalfLife(HalfLife) {}

  void record(bool Hit, instant Now) {
    decay(Now);
    Total += 1;
    Hits += Hit ? 1 : 0;
  }
  /// Returns the ratio; it is biased towards zero while there are few events.
  double value(instant Now) const {
    double Decay = decayFactor(Now);
    return Hits * Decay / (Total * Decay + PriorSamples);
  }
  double weight(instant Now) const { return Total * decayFactor(Now); }
  void reset() { Hits = Total = 0; }

private:
  /// Assumed events without a hit, so that a single failure does not give a
  /// ratio of 1.
  static constexpr double PriorSamples = 2;

  double decayFactor(instant Now) const {
    double Age = static_cast<double>((Now - UpdatedAt).count());
    return std::exp2(-std::max(Age, 0.0) /
                     static_cast<double>(HalfLife.count()));
  }
  void decay(instant Now) {
    double Decay = decayFactor(Now);
    Hits *= Decay;
    Total *= Decay;
    UpdatedAt = Now;
  }

  microseconds HalfLife;
  double Hits = 0;
  double Total = 0;
  instant UpdatedAt;
};

} // namespace chivebeam
