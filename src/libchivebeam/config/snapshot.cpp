#include "config/snapshot.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Compares hosts without the port.
bool hostMatches(const route_rule &Rule, std::string_view Host) {
  return Rule.Host.empty() || Rule.Host == Host.substr(0, Host.find(':'));
}

bool methodMatches(const route_rule &Rule, std::string_view Method) {
  return Rule.Methods.empty() ||
         std::find(Rule.Methods.begin(), Rule.Methods.end(), Method) !=
             Rule.Methods.end();
}

} // namespace

const service_entry *snapshot::findService(const service_name &Service) const {
  auto Found = Services.find(Service);
  return Found == Services.end() ? nullptr : &Found->second;
}

const move_rule *snapshot::findMoveOf(const service_name &Service) const {
  for (const move_rule &Move : Moves)
    if (Move.Service == Service)
      return &Move;
  return nullptr;
}

const workspace *snapshot::findWorkspace(const workspace_name &Name) const {
  auto Found = Workspaces.find(Name);
  return Found == Workspaces.end() ? nullptr : &Found->second;
}

const workspace *snapshot::findWorkspaceOf(const api_key &Key) const {
  auto [First, Last] = WorkspacesByKey.equal_range(Key.hash());
  for (auto Entry = First; Entry != Last; ++Entry) {
    const std::vector<api_key> &Keys = Entry->second->Keys;
    if (std::find(Keys.begin(), Keys.end(), Key) != Keys.end())
      return Entry->second;
  }
  return nullptr;
}

void snapshot::indexKeys() {
  for (const auto &[Name, Workspace] : Workspaces)
    for (const api_key &Key : Workspace.Keys)
      WorkspacesByKey.emplace(Key.hash(), &Workspace);
}

void snapshot::indexRoutes() {
  for (const route_rule &Rule : Routes) {
    RoutesByPrefix[Rule.PathPrefix].push_back(&Rule);
    if (PrefixLengths.empty() || PrefixLengths.back() != Rule.PathPrefix.size())
      PrefixLengths.push_back(Rule.PathPrefix.size());
  }
}

const route_rule *snapshot::match(std::string_view Host, std::string_view Path,
                                  std::string_view Method) const {
  for (std::size_t Length : PrefixLengths) {
    if (Length > Path.size())
      continue;
    auto Found = RoutesByPrefix.find(Path.substr(0, Length));
    if (Found == RoutesByPrefix.end())
      continue;
    for (const route_rule *Rule : Found->second)
      if (hostMatches(*Rule, Host) && methodMatches(*Rule, Method))
        return Rule;
  }
  return nullptr;
}

} // namespace chivebeam
