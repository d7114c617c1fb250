#include "routing/latency_quantile.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Largest change of the estimate by one sample, as a fraction of it.
constexpr double StepFraction = 0.05;
/// Keeps a small estimate from standing still.
constexpr double MinStepMicros = 20;
/// With fewer samples there is no estimate.
constexpr unsigned MinSamples = 30;

} // namespace

void latency_quantile::record(microseconds Sample) {
  auto Micros = static_cast<double>(Sample.count());
  if (Samples < MinSamples) {
    ++Samples;
    EstimateMicros = std::max(EstimateMicros, Micros);
    return;
  }
  double Step = std::max(EstimateMicros * StepFraction, MinStepMicros);
  EstimateMicros +=
      Micros > EstimateMicros ? Step * Quantile : -Step * (1 - Quantile);
}

microseconds latency_quantile::value() const {
  return Samples < MinSamples
             ? microseconds(0)
             : microseconds(static_cast<std::int64_t>(EstimateMicros));
}

} // namespace chivebeam
