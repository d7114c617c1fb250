#include "routing/worker_health.h"

#include <algorithm>

namespace chivebeam {

namespace {

constexpr unsigned MaxConsecutiveFailures = 5;
constexpr unsigned MinRateSamples = 16;
constexpr double MaxFailureRate = 0.5;
constexpr double FailureRateWeight = 1.0 / MinRateSamples;
constexpr milliseconds BaseEjectionTime{1'000};
constexpr unsigned MaxDoublings = 5;

} // namespace

void worker_health::succeeded() {
  if (OutOfUse)
    *this = worker_health();
  Consecutive = 0;
  FailureRate -= FailureRate * FailureRateWeight;
  Samples = std::min(Samples + 1, MinRateSamples);
}

void worker_health::failed(instant Now) {
  ++Consecutive;
  FailureRate += (1.0 - FailureRate) * FailureRateWeight;
  Samples = std::min(Samples + 1, MinRateSamples);
  bool TrialFailed = OutOfUse && TrialRunning;
  bool RateExceeded = Samples == MinRateSamples && FailureRate > MaxFailureRate;
  if (TrialFailed ||
      (!OutOfUse && (Consecutive >= MaxConsecutiveFailures || RateExceeded)))
    eject(Now);
}

void worker_health::unreachable(instant Now) {
  if (!OutOfUse || TrialRunning)
    eject(Now);
}

void worker_health::eject(instant Now) {
  OutOfUse = true;
  TrialRunning = false;
  EjectedUntil =
      Now + BaseEjectionTime * (1U << std::min(Ejections, MaxDoublings));
  ++Ejections;
}

bool worker_health::ejected(instant Now) const {
  return OutOfUse && (Now < EjectedUntil || TrialRunning);
}

bool worker_health::trialDue(instant Now) const {
  return OutOfUse && Now >= EjectedUntil && !TrialRunning;
}

} // namespace chivebeam
