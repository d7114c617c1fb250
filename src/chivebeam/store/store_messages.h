#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/address.h"
#include "config/config_source.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// The newest configuration was read from the store.
struct source_found {
  config_source Source;
};
/// The store answered. Newest is the number of its newest configuration, zero
/// if there is none.
struct store_answered {
  config_number Newest;
};
/// Peer addresses of the nodes that hold watcher leases.
struct watchers_found {
  std::vector<address> Peers;
};
/// The node acquired or lost a watcher lease.
struct watcher_lease_changed {
  bool HoldsLease = false;
};
/// The store became reachable or unreachable.
struct session_changed {
  bool Up = false;
};
/// A verdict was found in the store.
struct verdict_found {
  move_progress Progress;
};

/// Event that the store thread reports to the control thread.
using store_event =
    std::variant<source_found, store_answered, watchers_found,
                 watcher_lease_changed, session_changed, verdict_found>;

/// Records a verdict and its journal unless the move has a verdict already.
struct record_verdict {
  move_progress Progress;
  std::string Journal;
};
/// Numbers of nodes that are not dead, from which the store thread derives its
/// call rate.
struct fleet_size {
  std::size_t Nodes = 0;
  std::size_t NodesInDomain = 0;
};
/// A configuration was applied on this node.
struct source_applied {
  config_source Source;
};

/// Command of the control thread to the store thread.
using store_command = std::variant<record_verdict, fleet_size, source_applied>;

} // namespace chivebeam
