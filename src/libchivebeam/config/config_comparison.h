#pragma once

#include "config/config_change.h"
#include "config/snapshot.h"

namespace chivebeam {

/// Lists what differs between the configuration in force and a new one, and
/// what each difference changes for callers. Where calls go is found with
/// snapshot::match. API keys are counted and never part of a text. Thread safe.
config_change_list compareConfigs(const snapshot &InForce, const snapshot &New);

} // namespace chivebeam
