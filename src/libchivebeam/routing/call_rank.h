#pragma once

#include <algorithm>

#include "base/names.h"

namespace chivebeam {

/// Ranks of one workspace priority; urgencies of routes are lower.
inline constexpr unsigned RanksPerPriority = 1'024;

/// Returns the rank of a call among all calls; lower ranks go first. The
/// priority of the workspace goes before the urgency of the route. With the
/// highest priority, and without workspaces, the rank is the urgency.
inline unsigned rankOf(unsigned Priority, unsigned Urgency) {
  return Priority * RanksPerPriority + std::min(Urgency, RanksPerPriority - 1);
}

/// Returns the lowest rank of the same workspace priority.
inline unsigned lowestRankBeside(unsigned Rank) {
  return Rank / RanksPerPriority * RanksPerPriority + RanksPerPriority - 1;
}

/// Returns the priority of one call of a workspace with Priority. A third of
/// the calls, chosen by their ids, has the highest one, so that no workspace
/// starves behind others.
unsigned priorityOfCall(unsigned Priority, const request_id &Id);

} // namespace chivebeam
