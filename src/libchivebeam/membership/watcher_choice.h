#pragma once

#include <set>
#include <vector>

#include "membership/home_record.h"

namespace chivebeam {

/// A watcher that a node may subscribe to.
struct watcher_candidate {
  node_id Node;
  failure_domain Domain;
  /// It answers and reads the store, as far as the node knows.
  bool Usable = false;
};

/// True if the record is that of a watcher to which nodes may subscribe.
bool isWatcher(const home_record &Record);

/// Returns the watchers to which a node subscribes: those of its own failure
/// domain, and with WithForeign some of other domains as well. The choice
/// spreads the nodes over these and changes only with the candidates. Thread
/// safe.
std::set<node_id>
watchersForNode(const node_id &Node, const failure_domain &Domain,
                const std::vector<watcher_candidate> &Candidates,
                bool WithForeign);

/// Returns the watchers to which a watcher subscribes: all of its own failure
/// domain and one of each other domain. Thread safe.
std::set<node_id>
watchersForWatcher(const node_id &Node, const failure_domain &Domain,
                   const std::vector<watcher_candidate> &Candidates);

} // namespace chivebeam
