#pragma once

#include <map>
#include <optional>
#include <vector>

#include "membership/home_record.h"

namespace chivebeam {

/// Records of all known home nodes of the mesh, received from the store and
/// from the nodes themselves. An entry that was removed from the store is kept
/// for RemovalGrace, since a lease may lapse during an outage, and for as long
/// as the node itself still answers. Not thread safe.
class home_directory {
public:
  /// An entry that was removed from the store is dropped after this time,
  /// unless its node still answers. The platform restores lapsed entries
  /// within two seconds.
  static constexpr milliseconds RemovalGrace{2'000};
  /// A node counts as alive for this time after each answer.
  static constexpr milliseconds AnswerLifetime{2'000};

  /// Adds a record if it is newer than the known one. A record from the store
  /// also cancels a pending removal. Returns true if either changed an entry.
  bool offer(const home_record &Record, bool FromStore);
  /// Marks the entry of a node as removed from the store.
  void entryRemoved(const node_id &Node, instant Now);
  /// Marks all entries as removed from the store but those of Listed, the
  /// nodes in a full listing of the store.
  void keepOnly(const std::vector<node_id> &Listed, instant Now);
  /// Records that the node itself has answered.
  void nodeAnswered(const node_id &Node, instant Now);
  /// Drops removed entries whose grace has passed and whose nodes no longer
  /// answer. Returns true if any was dropped.
  bool expire(instant Now);

  const home_record *find(const node_id &Node) const;
  /// Returns all records, also those of nodes that take no calls.
  std::vector<home_record> records() const;
  /// Returns the nodes whose entries were removed from the store but are still
  /// kept here.
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
