#pragma once

#include "config/finding.h"
#include "config/snapshot.h"

namespace chivebeam {

/// Finds entries that can't work and limits that contradict each other in a
/// configuration that nodes accept. Paths name routes, services and workspaces
/// by their names; no text contains an API key. \pre Config was compiled from a
/// document of a mesh's operator, in which every route sets its MaxWorkers.
/// Thread safe.
finding_list reviewConfig(const snapshot &Config);

/// Finds what keeps nodes from applying New after InForce. Thread safe.
finding_list reviewUpdate(const snapshot &InForce, const snapshot &New);

} // namespace chivebeam
