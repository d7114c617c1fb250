#pragma once

#include <map>
#include <set>

#include "mesh/mesh_state.h"
#include "mesh/peer_hub.h"

namespace chivebeam {

/// Spreads the records of the nodes. Each node subscribes to the watchers of
/// its failure domain; watchers subscribe to each other and pass changes on. A
/// node that has no watcher in its own domain subscribes to others. Watchers
/// also detect nodes that are gone. Runs on one io_context; not thread safe.
class mesh_membership {
public:
  /// \pre all arguments outlive the object.
  mesh_membership(const mesh_settings &Settings, mesh_state &State,
                  peer_hub &Hub);

  /// If this node is a watcher, tells its subscribers which configuration it
  /// holds, so that they request a newer one at once.
  void announceStatus();
  /// Adds watchers that were listed in the store.
  void addListed(const std::vector<home_record> &Watchers);
  /// Returns the watchers of the own failure domain that answer and read the
  /// store.
  std::vector<node_id> usableWatchers(instant Now) const;
  /// True if a watcher of any failure domain answers and reads the store.
  bool hasUsableWatcher(instant Now) const;
  /// Returns the last time at which a watcher that this node hears had read all
  /// changes of the store; zero if there was none lately.
  instant watcherReadAt() const;
  /// Maintains the subscriptions. Called several times a second.
  void tick(instant Now);

private:
  bool isUsable(const node_id &Watcher, instant Now) const;
  /// Returns the watchers to subscribe to.
  std::set<node_id> chooseWatchers(instant Now) const;
  /// True if this node checks whether the node of the record is gone.
  bool isResponsibleFor(const home_record &Record,
                        const std::set<failure_domain> &Watched) const;
  void checkSilentNodes(instant Now);
  void relayNews(const std::vector<home_record> &News, const node_id &From);

  const mesh_settings &Settings;
  mesh_state &State;
  peer_hub &Hub;
  /// When a watcher had last read all changes of the store, as it says.
  std::map<node_id, instant> CurrentAt;
  instant OwnDomainUsableAt; ///< last time with a usable watcher in it
  instant SilenceCheckedAt;
};

} // namespace chivebeam
