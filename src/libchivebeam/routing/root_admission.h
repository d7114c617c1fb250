#pragma once

#include <unordered_map>

#include "base/names.h"
#include "routing/refusal_ratios.h"

namespace chivebeam {

/// What an entry node knows of the overload that a call would meet.
struct overload_view {
  /// Refused shares at the services that the call's service calls in turn.
  refusal_ratios Downstream;
  /// Refused shares at the call's own service.
  refusal_ratios Own;
  /// Used part of the repeat budgets of the services further down.
  unsigned DownstreamRetryBudgetPermille = 0;
};

/// Refuses calls of outside callers before they take a slot, when a service
/// further down is the narrow one. There, calls made by running calls go first,
/// so a call that is let in upstream pushes out the outside calls downstream.
/// Calls that are less urgent than those, or as urgent, are refused upstream so
/// that they end served about as often, but no more urgent ones. Not thread
/// safe.
class root_admission {
public:
  /// Returns whether the call is let in. Refusals are spread evenly.
  bool admit(const route_name &Route, unsigned Urgency,
             const overload_view &Overload);

  /// Returns the part of such calls that is refused here.
  static double refusedFraction(unsigned Urgency,
                                const overload_view &Overload);

private:
  std::unordered_map<route_name, double>
      PendingRefusals; ///< refusals, by route
};

} // namespace chivebeam
