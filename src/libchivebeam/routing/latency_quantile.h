#pragma once

#include "base/units.h"

namespace chivebeam {

/// Estimate of one quantile of a latency that changes over time, in constant
/// memory. Each sample moves the estimate by a fraction of itself, so that old
/// samples lose their weight. Not thread safe.
class latency_quantile {
public:
  /// \pre 0 < Quantile < 1.
  explicit latency_quantile(double Quantile) : Quantile(Quantile) {}

  void record(microseconds Sample);
  /// Returns the estimate; zero before there are enough samples.
  microseconds value() const;

private:
  double Quantile;
  double EstimateMicros = 0;
  unsigned Samples = 0;
};

} // namespace chivebeam
