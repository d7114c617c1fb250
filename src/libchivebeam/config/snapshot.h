#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/asset_register.h"
#include "config/rule_set.h"

namespace chivebeam {

/// A compiled configuration: the routes and every resource they refer to. A
/// snapshot is immutable and replaced as a whole, so a reader never sees a
/// partial update. Created by snapshot_builder only. Thread safe.
class snapshot {
public:
  snapshot() = default;
  snapshot(const snapshot &) = delete; // the indexes point into it
  snapshot &operator=(const snapshot &) = delete;

  config_number number() const { return Number; }
  config_digest digest() const { return Digest; }
  const std::vector<route_rule> &routes() const { return Routes; }
  const std::vector<move_rule> &moves() const { return Moves; }
  const std::map<service_name, service_entry> &services() const {
    return Services;
  }
  const std::map<failure_domain, region_name> &domains() const {
    return Domains;
  }
  const caller_limits &callerLimits() const { return Limits; }
  const std::map<workspace_name, workspace> &workspaces() const {
    return Workspaces;
  }
  /// True if calls need an API key, unless their route allows anonymous calls.
  bool hasWorkspaces() const { return !Workspaces.empty(); }

  /// Returns the service of that name, or null if there is none.
  const service_entry *findService(const service_name &Service) const;
  /// Returns the move of the service, or null if there is none.
  const move_rule *findMoveOf(const service_name &Service) const;
  /// Returns the workspace of that name, or null if there is none.
  const workspace *findWorkspace(const workspace_name &Name) const;
  /// Returns the workspace that holds the key, or null if none does. The cost
  /// does not depend on the number of keys.
  const workspace *findWorkspaceOf(const api_key &Key) const;
  /// Returns the matching route with the longest prefix, or null if none
  /// matches. Among equal prefixes, a route with a host takes precedence over
  /// one without, then a route with methods over one without. The cost does not
  /// depend on the number of routes.
  const route_rule *match(std::string_view Host, std::string_view Path,
                          std::string_view Method) const;

private:
  friend class snapshot_builder;

  /// Builds the index of Routes by prefix. \pre Routes is sorted and does not
  /// change afterwards.
  void indexRoutes();
  /// Builds the index of Workspaces by key. \pre Workspaces does not change
  /// afterwards.
  void indexKeys();

  config_number Number;
  config_digest Digest;
  std::vector<route_rule> Routes; ///< most specific first
  std::vector<move_rule> Moves;
  std::map<service_name, service_entry> Services;
  std::map<failure_domain, region_name> Domains;
  caller_limits Limits;
  std::map<workspace_name, workspace> Workspaces;
  /// Workspaces by the hashes of their keys. The pointers point into
  /// Workspaces.
  std::unordered_multimap<std::size_t, const workspace *> WorkspacesByKey;
  std::vector<std::size_t> PrefixLengths; ///< longest first
  /// Routes of each prefix, most specific first. The keys point into Routes.
  std::unordered_map<std::string_view, std::vector<const route_rule *>>
      RoutesByPrefix;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

} // namespace chivebeam
