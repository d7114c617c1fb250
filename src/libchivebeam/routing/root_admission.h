#pragma once

#include <unordered_map>

#include "base/names.h"
#include "routing/refusal_ratios.h"

namespace chivebeam {

/// What an entry node knows about the overload that a call would meet.
struct overload_view {
  /// Refusal ratios at the services that the service of the call calls.
  refusal_ratios Downstream;
  /// Refusal ratios at the service of the call.
  refusal_ratios Own;
  /// Used part of the retry budgets of the downstream services.
  unsigned DownstreamRetryBudgetPermille = 0;
};

/// Admission control for root calls, the calls of outside callers: refuses them
/// before they take a slot when a downstream service is the bottleneck. Nested
/// calls go first there, so a root call that is admitted upstream displaces
/// root calls downstream. Of the calls that are at most as urgent as the
/// displaced ones, refuses as many as make both about equally likely to be
/// served; never refuses more urgent calls. Not thread safe.
class root_admission {
public:
  /// Returns whether the call is admitted. Refusals are spread evenly.
  bool admit(const route_name &Route, unsigned Urgency,
             const overload_view &Overload);

  /// Returns the fraction of such calls that is refused here.
  static double refusedFraction(unsigned Urgency,
                                const overload_view &Overload);

private:
  std::unordered_map<route_name, double> PendingRefusals; ///< sums of fractions
};

} // namespace chivebeam
