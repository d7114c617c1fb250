#pragma once

#include <set>

#include "config/snapshot.h"

namespace chivebeam {

/// Assembles a snapshot from a register and rules, and checks that every
/// service and version that a route or move refers to exists. Not thread safe.
class snapshot_builder {
public:
  snapshot_builder &withNumber(config_number Number);
  snapshot_builder &withRegister(asset_register Register);
  snapshot_builder &withRules(rule_set Rules);

  /// Returns the snapshot, or all errors found.
  checked<snapshot_ptr> build();

private:
  void checkRoutes();
  void checkRouteOverlaps();
  void checkMoves();
  void checkWorkspaces();
  void checkKeys(const workspace &Workspace, const std::string &Path);
  void checkMove(const move_rule &Move, const std::string &Path);
  /// Appends an error at Path if the register has no such service.
  void requireService(const service_name &Service, const std::string &Path);
  /// Appends an error at Path if the service has no such version.
  void requireVersion(const service_entry &Service, const version_name &Version,
                      const std::string &Path);
  void sortRoutes();
  config_digest computeDigest() const;

  config_number Number;
  asset_register Register;
  rule_set Rules;
  std::shared_ptr<snapshot> Snapshot;
  error_list Errors;
  std::set<std::string_view> KnownKeys; ///< they point into Rules
};

} // namespace chivebeam
