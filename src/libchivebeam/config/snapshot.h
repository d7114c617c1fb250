#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/asset_register.h"
#include "config/rule_set.h"

namespace chivebeam {

/// One compiled configuration: routes with every resource they name. It is
/// immutable and swapped whole, so a reader never sees part of one. Made by
/// compile() only.
class snapshot {
public:
  snapshot() = default;
  snapshot(const snapshot &) = delete; // its index points into its routes
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

  /// Returns the service, or null if this configuration has none of the name.
  const service_entry *findService(const service_name &Service) const;
  /// Returns the move of the service, or null.
  const move_rule *findMoveOf(const service_name &Service) const;
  /// Returns the route with the longest prefix that matches, preferring a
  /// named host, or null. Its cost does not grow with the number of routes.
  const route_rule *match(std::string_view Host, std::string_view Path,
                          std::string_view Method) const;

private:
  friend class snapshot_builder;

  /// Indexes Routes by prefix. \pre Routes is sorted and does not change.
  void indexRoutes();

  config_number Number;
  config_digest Digest;
  std::vector<route_rule> Routes; ///< most specific first
  std::vector<move_rule> Moves;
  std::map<service_name, service_entry> Services;
  std::map<failure_domain, region_name> Domains;
  caller_limits Limits;
  std::vector<std::size_t> PrefixLengths; ///< the longest first
  /// Routes of each prefix, the most specific first. The keys are views of the
  /// routes' own prefixes.
  std::unordered_map<std::string_view, std::vector<const route_rule *>>
      RoutesByPrefix;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

} // namespace chivebeam
