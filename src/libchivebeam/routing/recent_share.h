#pragma once

#include <algorithm>
#include <cmath>

#include "base/units.h"

namespace chivebeam {

/// The share of events among recent ones; older ones lose weight by half in
/// each half-life. A plain value; not thread safe.
class recent_share {
public:
  explicit recent_share(microseconds HalfLife) : HalfLife(HalfLife) {}

  void record(bool Hit, instant Now) {
    fade(Now);
    Total += 1;
    Hits += Hit ? 1 : 0;
  }
  /// Returns the share, drawn towards zero while little is known.
  double value(instant Now) const {
    double Kept = keptSince(Now);
    return Hits * Kept / (Total * Kept + Prior);
  }
  double weight(instant Now) const { return Total * keptSince(Now); }
  void reset() { Hits = Total = 0; }

private:
  /// Imagined events without a hit, so that one failure is not "all failed".
  static constexpr double Prior = 2;

  double keptSince(instant Now) const {
    double Age = static_cast<double>((Now - UpdatedAt).count());
    return std::exp2(-std::max(Age, 0.0) /
                     static_cast<double>(HalfLife.count()));
  }
  void fade(instant Now) {
    double Kept = keptSince(Now);
    Hits *= Kept;
    Total *= Kept;
    UpdatedAt = Now;
  }

  microseconds HalfLife;
  double Hits = 0;
  double Total = 0;
  instant UpdatedAt;
};

} // namespace chivebeam
