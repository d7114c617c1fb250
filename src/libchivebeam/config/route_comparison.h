#pragma once

#include "config/config_change.h"
#include "config/snapshot.h"

namespace chivebeam {

/// Appends the differences between the routes, by their names. Thread safe.
void compareRoutes(const snapshot &InForce, const snapshot &New,
                   config_change_list &Changes);

} // namespace chivebeam
