#pragma once

namespace chivebeam {

/// Rate limit for the calls of a workspace over all nodes together. Value type.
struct usage_cap {
  double RatePerSecond = 0; ///< zero: no limit
  double Burst = 0;         ///< calls beyond the rate

  bool isLimited() const { return RatePerSecond > 0; }
  friend bool operator==(const usage_cap &, const usage_cap &) = default;
};

} // namespace chivebeam
