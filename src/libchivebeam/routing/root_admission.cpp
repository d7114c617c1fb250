#include "routing/root_admission.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Up to this refusal ratio, nearly all callers who retry once or twice are
/// served, and refusing less urgent calls upstream would help the others
/// little.
constexpr double ToleratedRefusalRatio = 0.3;
/// Some calls are always admitted, so that the end of an overload is noticed.
constexpr double MaxRefusedFraction = 0.9;
/// Bounds the memory for routes, which come and go; at this number, all counts
/// are dropped.
constexpr std::size_t MaxRoutes = 4'096;

} // namespace

double root_admission::refusedFraction(unsigned Urgency,
                                       const overload_view &Overload) {
  double DownstreamRatio =
      highestRefusalRatio(Overload.Downstream, Urgency) / 1'000.0;
  double OwnRatio = refusalRatioAt(Overload.Own, Urgency) / 1'000.0;
  double WantedRatio =
      (DownstreamRatio - ToleratedRefusalRatio) / (1 - ToleratedRefusalRatio);
  if (WantedRatio <= OwnRatio || OwnRatio >= 1)
    return 0;
  return std::min((WantedRatio - OwnRatio) / (1 - OwnRatio),
                  MaxRefusedFraction);
}

bool root_admission::admit(const route_name &Route, unsigned Urgency,
                           const overload_view &Overload) {
  double Fraction = refusedFraction(Urgency, Overload);
  if (Fraction <= 0)
    return true;
  if (PendingRefusals.size() >= MaxRoutes && !PendingRefusals.contains(Route))
    PendingRefusals.clear();
  double &Pending = PendingRefusals[Route];
  Pending += Fraction;
  if (Pending < 1)
    return true;
  Pending -= 1;
  return false;
}

} // namespace chivebeam
