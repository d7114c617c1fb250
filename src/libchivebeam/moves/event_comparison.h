#pragma once

#include <vector>

namespace chivebeam {

/// How often an event (a failure, a slow call) happened on both versions over
/// one stretch of time in which the share stayed the same.
struct event_counts {
  double NewEvents = 0;
  double NewCalls = 0;
  double OldEvents = 0;
  double OldCalls = 0;

  void add(const event_counts &Other);
};

/// How much worse the new version may be: its rate of events may reach Ratio
/// times (the old version's rate plus Extra).
struct event_tolerance {
  double Ratio = 1;
  double Extra = 0;
};

/// Returns the natural logarithm of the evidence that the new version's rate
/// exceeds what the tolerance allows. The evidence is a likelihood ratio,
/// averaged over several ratios of rates, whose expected value stays at or
/// below one while the rate is allowed, whatever the rate and however it
/// changes with time. So the chance that it ever reaches 1/E is at most E, no
/// matter how often it is looked at. Thread safe.
double logEvidence(const std::vector<event_counts> &Intervals,
                   const event_tolerance &Tolerance);

/// Returns the logarithm of the mean of numbers given by their logarithms.
/// The mean of such evidence is again such evidence, even if the parts depend
/// on each other. \pre Logs is not empty.
double logMean(const std::vector<double> &Logs);

} // namespace chivebeam
