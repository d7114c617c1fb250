#pragma once

#include <algorithm>

namespace chivebeam {

/// Ranks of one workspace priority; urgencies of routes are lower.
inline constexpr unsigned RanksPerPriority = 1'024;

/// Returns the rank of a call among all calls; lower ranks go first. The
/// priority of the workspace goes before the urgency of the route. Without a
/// priority the rank is the urgency.
inline unsigned rankOf(unsigned Priority, unsigned Urgency) {
  return Priority == 0 ? Urgency
                       : Priority * RanksPerPriority +
                             std::min(Urgency, RanksPerPriority - 1);
}

/// Returns the lowest rank of the same workspace priority.
inline unsigned lowestRankBeside(unsigned Rank) {
  return Rank / RanksPerPriority * RanksPerPriority + RanksPerPriority - 1;
}

} // namespace chivebeam
