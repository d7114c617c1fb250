#pragma once

#include "base/units.h"

namespace chivebeam {

/// Token bucket that limits the rate of calls. Tokens arrive at a constant rate
/// and accumulate up to the burst size; each call takes one. The caller passes
/// the current time. It may repeat; a time earlier than the previous one is
/// treated as the previous one. Not thread safe.
class token_bucket {
public:
  /// Creates a full bucket. \pre PerSecond > 0 and Burst >= 1.
  token_bucket(double PerSecond, double Burst);
  /// Creates a bucket with these tokens. \pre PerSecond > 0 and Burst >= 1.
  token_bucket(double PerSecond, double Burst, double Tokens);

  /// Changes the rate from Now on; accumulated tokens are kept.
  void setRate(double PerSecond, instant Now);
  /// Changes the rate and the burst size from Now on; tokens above the burst
  /// size are dropped.
  void setRate(double PerSecond, double Burst, instant Now);
  /// Takes a token if one is available. Returns false if none is.
  bool take(instant Now);
  /// Takes a token, in advance if none is available, and returns how long the
  /// caller must wait before its call.
  microseconds reserve(instant Now);
  /// Returns the time until this many tokens will have arrived, also if they
  /// are more than the burst size.
  microseconds timeUntil(double Count, instant Now) const;

private:
  void refill(instant Now);

  double PerSecond;
  double Burst;
  double Tokens;      ///< negative: tokens taken in advance
  instant RefilledAt; ///< zero: never
};

} // namespace chivebeam
