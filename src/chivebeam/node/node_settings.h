#pragma once

#include <vector>

#include "base/address.h"
#include "base/error.h"
#include "base/names.h"
#include "base/units.h"

namespace chivebeam {

/// Limits of one node. The defaults suit a small instance.
struct node_limits {
  std::uint64_t MaxHeaderBytes = 16 << 10;
  std::uint64_t MaxBodyBytes = 64 << 20;
  unsigned WorkerConnections = 100; ///< open connections to the backend server
  unsigned CallerConnections = 2'000;
  milliseconds IdleTimeout{60'000};
  milliseconds DrainLimit{30'000};
  /// Time that the listeners stay open after a drain begins, so that peers
  /// learn of it.
  milliseconds DrainNotice{1'000};
};

/// How a node chooses among backend servers.
enum class routing_policy {
  balanced,    ///< by load and by call outcomes
  round_robin, ///< each in turn; a baseline for comparison
};

/// Settings of a node process, read from its settings file. A plain value.
struct node_settings {
  fleet_name Fleet;
  node_id Node;
  region_name Region;
  failure_domain Domain;
  address Traffic; ///< accepts calls from callers
  address Peer;    ///< for other nodes: UDP, and TCP on the same port
  address Relay;   ///< accepts calls from other nodes for the backend server
  address Control; ///< loopback; for the backend server and operators
  std::vector<address> Store;
  std::vector<address> Contacts; ///< peers to contact without the store
  node_limits Limits;
  routing_policy Routing = routing_policy::balanced;
};

/// Parses the settings and returns all errors at once.
checked<node_settings> readSettings(std::string_view Text);

} // namespace chivebeam
