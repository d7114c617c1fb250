#pragma once

#include "config/config_change.h"
#include "config/snapshot.h"

namespace chivebeam {

/// Appends the differences between the workspaces, their caps and keys. Keys
/// are counted only. Thread safe.
void compareWorkspaces(const snapshot &InForce, const snapshot &New,
                       config_change_list &Changes);

} // namespace chivebeam
