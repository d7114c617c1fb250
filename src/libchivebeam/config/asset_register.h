#pragma once

#include <string>
#include <vector>

#include <boost/json.hpp>

#include "base/error.h"
#include "base/names.h"
#include "config/work_class.h"

namespace chivebeam {

struct domain_entry {
  failure_domain Domain;
  region_name Region;
};

struct service_entry {
  service_name Service;
  work_class Class = work_class::status;
  /// Version that serves when no move is under way.
  version_name Version;
  std::vector<version_name> Versions;
  unsigned Workers = 0;        ///< backend servers for each version
  unsigned Slots = 0;          ///< calls one backend server runs at a time
  unsigned MaxConnections = 0; ///< that one backend server takes; zero: unknown
};

/// The operators' inventory: failure domains and services. Written by the
/// asset register, never by hand. A plain value; thread safe to read.
struct asset_register {
  std::vector<domain_entry> Domains;
  std::vector<service_entry> Services;
};

/// Reads a register and reports every mistake at once.
checked<asset_register> readRegister(const boost::json::value &Document);

} // namespace chivebeam
