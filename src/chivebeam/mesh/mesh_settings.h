#pragma once

#include <cstdint>

#include "base/address.h"
#include "base/names.h"
#include "base/units.h"
#include "routing/arrival_budget.h"

namespace chivebeam {

/// What a node of a mesh learns from its settings. A plain value.
struct mesh_settings {
  node_id Node;
  failure_domain Domain;
  service_name Service;  ///< of the backend server beside this node
  address Callers;       ///< callers and the backend server send calls here
  address Readiness;     ///< asked whether this node takes calls
  address WorkerReports; ///< the backend server reports here
  address Peers;         ///< other nodes connect here
  address Metrics; ///< counters and histograms as text; without IP: nowhere
  address Worker;  ///< where the backend server takes calls
  address Store;
  milliseconds ReportInterval{1'500}; ///< of the backend server
  milliseconds Grace{6'000};          ///< from SIGTERM to SIGKILL
  arrival_limits RetryBudget;
  std::uint64_t MemoryBytes = 256 << 20; ///< of this process
  unsigned MaxDescriptors = 1'024;
  double LinkBytesPerSecond = 0; ///< of this machine; zero: unknown
};

} // namespace chivebeam
