#pragma once

#include <string>
#include <vector>

#include <boost/json.hpp>

#include "base/error.h"
#include "base/names.h"
#include "base/units.h"
#include "config/work_class.h"

namespace chivebeam {

/// A failure domain and the region that contains it.
struct domain_entry {
  failure_domain Domain;
  region_name Region;
};

/// A service, its versions and the capacity of its backend servers.
struct service_entry {
  service_name Service;
  work_class Class = work_class::status;
  /// Version that receives all traffic while no move is in progress.
  version_name Version;
  std::vector<version_name> Versions;
  unsigned Workers = 0;        ///< backend servers for each version
  unsigned Slots = 0;          ///< calls that one backend server runs at a time
  unsigned MaxConnections = 0; ///< per backend server; zero: unknown
  /// Calls a second that one backend server takes while it is cold; zero: no
  /// limit.
  double ColdCallsPerSecond = 0;
  microseconds ColdStart{0}; ///< duration; zero: unknown
};

/// The operators' inventory of failure domains and services. It is exported
/// from the asset register and not edited by hand. Value type; concurrent reads
/// are safe.
struct asset_register {
  std::vector<domain_entry> Domains;
  std::vector<service_entry> Services;
};

/// Reads and validates a register. Returns all errors found.
checked<asset_register> readRegister(const boost::json::value &Document);

} // namespace chivebeam
