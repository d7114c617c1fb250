#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/address.h"
#include "config/config_source.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// The newest configuration in the store.
struct source_found {
  config_source Source;
};
/// The store answered; the number of its newest configuration, zero if none.
struct store_answered {
  config_number Newest;
};
/// Peer addresses of the nodes that hold watcher seats.
struct watchers_found {
  std::vector<address> Peers;
};
struct watcher_lease_changed {
  bool HoldsLease = false;
};
struct session_changed {
  bool Up = false;
};
/// A verdict that the store holds.
struct verdict_found {
  move_progress Progress;
};

/// What the store thread tells the control thread.
using store_event =
    std::variant<source_found, store_answered, watchers_found,
                 watcher_lease_changed, session_changed, verdict_found>;

/// Records a verdict with its journal unless one is recorded already.
struct record_verdict {
  move_progress Progress;
  std::string Journal;
};
/// Lets the store thread adapt its call rate; nodes that are not dead.
struct fleet_size {
  std::size_t Nodes = 0;
  std::size_t NodesInDomain = 0;
};
/// The configuration that came into force on this node.
struct source_applied {
  config_source Source;
};

/// What the control thread asks of the store thread.
using store_command = std::variant<record_verdict, fleet_size, source_applied>;

} // namespace chivebeam
