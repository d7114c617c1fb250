#pragma once

#include <map>
#include <optional>
#include <vector>

#include "membership/home_record.h"

namespace chivebeam {

/// Everything a node knows of the home nodes of the mesh. Records come from
/// the store and from the nodes themselves. An entry that vanished from the
/// store is kept for a while, since a lease may lapse in an outage, and for as
/// long as the node itself still answers. Not thread safe.
class home_directory {
public:
  /// An entry that vanished is taken as gone after so long, unless its node
  /// still answers. The platform has lapsed entries back within two seconds.
  static constexpr milliseconds RemovalGrace{2'000};
  /// A node that answered so lately counts as alive.
  static constexpr milliseconds AnswerLifetime{2'000};

  /// Takes a record in; returns whether it replaced an older one or made a
  /// vanished one valid again.
  bool offer(const home_record &Record, bool FromStore);
  /// Notes that a node's entry is no longer in the store.
  void entryRemoved(const node_id &Node, instant Now);
  /// Notes which nodes a full listing of the store has; all others vanish.
  void keepOnly(const std::vector<node_id> &Listed, instant Now);
  /// Notes that the node itself has answered.
  void nodeAnswered(const node_id &Node, instant Now);
  /// Removes what is gone; returns whether anything was.
  bool expire(instant Now);

  const home_record *find(const node_id &Node) const;
  /// Returns all records, also those of nodes that take no calls.
  std::vector<home_record> records() const;
  /// Returns the nodes whose entries have vanished but are still kept.
  std::vector<node_id> nodesInRemovalGrace() const;
  std::size_t size() const { return Entries.size(); }

private:
  struct entry {
    home_record Record;
    std::optional<instant> RemovedAt;
    instant LastAnswerAt;
  };

  std::map<node_id, entry> Entries;
};

} // namespace chivebeam
