#include "routing/root_admission.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Up to this share, callers who come back once or twice are nearly all served,
/// and refusing less urgent calls upstream would gain the others little.
constexpr double ToleratedShare = 0.3;
/// A part of the calls is always let in, so that the end of an overload shows.
constexpr double LargestPart = 0.9;
/// Routes come and go; beyond so many, counting begins anew.
constexpr std::size_t MaxRoutes = 4'096;

} // namespace

double root_admission::refusedPart(unsigned Urgency,
                                   const overload_view &Seen) {
  double Below = worstUpTo(Seen.Downstream, Urgency) / 1'000.0;
  double Here = shareOf(Seen.Own, Urgency) / 1'000.0;
  double Wanted = (Below - ToleratedShare) / (1 - ToleratedShare);
  if (Wanted <= Here || Here >= 1)
    return 0;
  return std::min((Wanted - Here) / (1 - Here), LargestPart);
}

bool root_admission::admit(const route_name &Route, unsigned Urgency,
                           const overload_view &Seen) {
  double Part = refusedPart(Urgency, Seen);
  if (Part <= 0)
    return true;
  if (Owed.size() >= MaxRoutes && !Owed.contains(Route))
    Owed.clear();
  double &Debt = Owed[Route];
  Debt += Part;
  if (Debt < 1)
    return true;
  Debt -= 1;
  return false;
}

} // namespace chivebeam
