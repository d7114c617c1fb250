#pragma once

#include <algorithm>
#include <cmath>

#include "base/units.h"

namespace chivebeam {

/// The share of events among recent ones; older ones lose weight by half in
/// each half-life. A plain value; not thread safe.
class decaying_ratio {
public:
  explicit decaying_ratio(microseconds HalfLife) : HalfLife(HalfLife) {}

  void record(bool Hit, instant Now) {
    decay(Now);
    Total += 1;
    Hits += Hit ? 1 : 0;
  }
  /// Returns the share, drawn towards zero while little is known.
  double value(instant Now) const {
    double Decay = decayFactor(Now);
    return Hits * Decay / (Total * Decay + PriorSamples);
  }
  double weight(instant Now) const { return Total * decayFactor(Now); }
  void reset() { Hits = Total = 0; }

private:
  /// Imagined events without a hit, so that one failure is not "all failed".
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
