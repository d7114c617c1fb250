#pragma once

#include "base/units.h"
#include "config/usage_cap.h"

namespace chivebeam {

/// Time after its request for which an entry node may spend a granted token.
inline constexpr milliseconds TokenLifetime{1'000};
/// An entry node that has no answer within this time counts the owner as
/// unreachable for UnreachableTime and ignores a later answer.
inline constexpr milliseconds AskTimeout{200};
inline constexpr milliseconds UnreachableTime{1'000};

/// Calls beyond the rate that the owners of a workspace admit together: the
/// burst and a part of the tolerance of the cap.
constexpr double circulationOf(const usage_cap &Cap) {
  constexpr double RatePart = 0.1; ///< seconds of the rate
  constexpr double Constant = 8;
  return Cap.Burst + RatePart * Cap.RatePerSecond + Constant;
}

/// Calls a second that all nodes without any reachable owner admit together.
/// Their tokens lapse after UnreachedTokenLifetime.
constexpr double unreachedRateOf(const usage_cap &Cap) {
  constexpr double RatePart = 0.02;
  constexpr double Constant = 0.6;
  return RatePart * Cap.RatePerSecond + Constant;
}
inline constexpr seconds UnreachedTokenLifetime{5};

} // namespace chivebeam
