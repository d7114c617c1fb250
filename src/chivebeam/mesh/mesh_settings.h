#pragma once

#include <cstdint>
#include <set>

#include "base/address.h"
#include "base/names.h"
#include "base/units.h"
#include "limits/door_limits.h"
#include "routing/hedge_policy.h"
#include "routing/windowed_retry_budget.h"

namespace chivebeam {

/// Settings of a node of a mesh. A plain value.
struct mesh_settings {
  node_id Node;
  failure_domain Domain;
  /// All failure domains of the mesh; empty: unknown.
  std::set<failure_domain> Domains;
  service_name Service;  ///< of the backend server beside this node
  address Callers;       ///< accepts calls of callers and of the backend server
  address Readiness;     ///< answers whether this node takes calls
  address WorkerReports; ///< receives reports of the backend server
  address Peers;         ///< accepts connections of other nodes
  address Metrics;       ///< serves metrics as text; no IP: disabled
  address Worker;        ///< the backend server accepts calls here
  address Store;
  milliseconds ReportInterval{1'500}; ///< of the backend server
  milliseconds Grace{6'000};          ///< from SIGTERM to SIGKILL
  retry_budget_limits RetryBudget;
  /// A cold backend server may get up to this multiple of the calls a second
  /// that it takes.
  double ColdStartFactor = 1;
  hedge_limits Hedging;
  door_limits Doors;
  std::uint64_t MemoryBytes = 256 << 20; ///< of this process
  unsigned MaxDescriptors = 1'024;
  double LinkBytesPerSecond = 0; ///< of this machine; zero: unknown
  /// The whole system starts for the first time, so no earlier process of this
  /// node has stored anything.
  bool FirstStart = false;
};

} // namespace chivebeam
