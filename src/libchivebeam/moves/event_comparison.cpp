#include "moves/event_comparison.h"

#include <algorithm>
#include <cmath>

namespace chivebeam {

namespace {

/// Rate ratios (new to old version) over which the evidence is averaged.
constexpr double RateRatios[] = {2.5, 6, 20, 100, 500};

double logLikelihoodRatio(const event_counts &Counts,
                          const event_tolerance &Tolerance, double Ratio) {
  double NewWeight = Counts.NewCalls * Tolerance.Ratio;
  double Weight = NewWeight + Counts.OldCalls;
  if (Weight <= 0)
    return 0;
  double Share = NewWeight / Weight;
  double Scale = std::log(Share * Ratio + 1 - Share);
  double OldEvents = Counts.OldEvents + Tolerance.Extra * Counts.OldCalls;
  return Counts.NewEvents * (std::log(Ratio) - Scale) - OldEvents * Scale;
}

} // namespace

void event_counts::add(const event_counts &Other) {
  NewEvents += Other.NewEvents;
  NewCalls += Other.NewCalls;
  OldEvents += Other.OldEvents;
  OldCalls += Other.OldCalls;
}

double logMean(const std::vector<double> &Logs) {
  double MaxLog = *std::max_element(Logs.begin(), Logs.end());
  double Sum = 0;
  for (double Log : Logs)
    Sum += std::exp(Log - MaxLog);
  return MaxLog + std::log(Sum / static_cast<double>(Logs.size()));
}

double logEvidence(const std::vector<event_counts> &Intervals,
                   const event_tolerance &Tolerance) {
  std::vector<double> Logs;
  for (double Ratio : RateRatios) {
    double Log = 0;
    for (const event_counts &Counts : Intervals)
      Log += logLikelihoodRatio(Counts, Tolerance, Ratio);
    Logs.push_back(Log);
  }
  return logMean(Logs);
}

} // namespace chivebeam
