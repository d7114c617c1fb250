#include "config/key_check.h"

namespace chivebeam {

std::optional<call_permission>
checkKey(const snapshot &Config, const route_rule &Route, const api_key &Key) {
  if (!Config.hasWorkspaces())
    return call_permission{};
  const workspace *Workspace = Config.findWorkspaceOf(Key);
  if (!Workspace && !Route.AllowsAnonymous)
    return std::nullopt;
  return call_permission{Workspace};
}

bool isKeyOf(const snapshot &Config, const api_key &Key,
             const workspace_name &Workspace) {
  if (Workspace.empty())
    return true;
  const workspace *Holder = Config.findWorkspaceOf(Key);
  return Holder && Holder->Name == Workspace;
}

} // namespace chivebeam
