#pragma once

#include "config/snapshot.h"

namespace chivebeam {

/// Assembles a snapshot and checks that it is closed: everything a route or
/// move names is part of it. Not thread safe.
class snapshot_builder {
public:
  snapshot_builder &withNumber(config_number Number);
  snapshot_builder &withRegister(asset_register Register);
  snapshot_builder &withRules(rule_set Rules);

  /// Returns the snapshot, or all mistakes found.
  checked<snapshot_ptr> build();

private:
  void checkRoutes();
  void checkRouteOverlaps();
  void checkMoves();
  void checkMove(const move_rule &Move, const std::string &Path);
  void requireService(const service_name &Service, const std::string &Path);
  void requireVersion(const service_entry &Service, const version_name &Version,
                      const std::string &Path);
  void sortRoutes();
  config_digest computeDigest() const;

  config_number Number;
  asset_register Register;
  rule_set Rules;
  std::shared_ptr<snapshot> Snapshot;
  error_list Errors;
};

} // namespace chivebeam
