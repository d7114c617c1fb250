#pragma once

#include "config/config_source.h"
#include "config/snapshot.h"

namespace chivebeam {

/// Compiles a published configuration into a snapshot. Returns all errors
/// found, each with a path and a remedy. Checks that each route and move names
/// a service and versions of the register. Deterministic: equal documents
/// result in equal digests on all nodes. Thread safe.
checked<snapshot_ptr> compile(const config_source &Source);

} // namespace chivebeam
