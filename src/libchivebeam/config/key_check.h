#pragma once

#include <optional>

#include "config/snapshot.h"

namespace chivebeam {

/// On whose behalf a call runs.
struct call_permission {
  const workspace *Workspace = nullptr; ///< null: the call is anonymous
};

/// Decides whether a call with this key may use the route; empty if not. A call
/// on a route that allows anonymous calls belongs to the workspace of its key,
/// too, if there is one. \pre Route is part of Config. The result points into
/// Config. Thread safe.
std::optional<call_permission>
checkKey(const snapshot &Config, const route_rule &Route, const api_key &Key);

/// True if the key still belongs to the workspace of that name. Always true
/// for calls without a workspace. Thread safe.
bool isKeyOf(const snapshot &Config, const api_key &Key,
             const workspace_name &Workspace);

} // namespace chivebeam
