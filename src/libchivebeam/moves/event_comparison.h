#pragma once

#include <vector>

namespace chivebeam {

/// Counts of calls and of one kind of event (failure or slow call) on both
/// versions over one interval in which the traffic share stayed constant.
struct event_counts {
  double NewEvents = 0;
  double NewCalls = 0;
  double OldEvents = 0;
  double OldCalls = 0;

  void add(const event_counts &Other);
};

/// Tolerated difference between the versions: the new version's event rate may
/// reach Ratio * (old version's rate + Extra).
struct event_tolerance {
  double Ratio = 1;
  double Extra = 0;
};

/// Returns the natural logarithm of the evidence that the new version's event
/// rate exceeds the tolerance. The evidence is a likelihood ratio, averaged
/// over several rate ratios. While the rate is within the tolerance, its
/// expected value is at most one, whatever the rate is and however it changes
/// over time. The probability that it ever reaches 1/E is therefore at most E,
/// however often it is evaluated. Thread safe.
double logEvidence(const std::vector<event_counts> &Intervals,
                   const event_tolerance &Tolerance);

/// Returns the logarithm of the mean of the values whose logarithms are given.
/// The mean of several such likelihood ratios has the same error bound, even if
/// they depend on each other. \pre Logs is not empty.
double logMean(const std::vector<double> &Logs);

} // namespace chivebeam
