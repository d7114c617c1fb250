#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "membership/record_digest.h"

namespace chivebeam {

/// Records of all known home nodes of the mesh, received from the nodes
/// themselves and from other nodes. The record of a node that is gone is kept
/// for TombstoneTime, so that an old copy does not bring it back. Not thread
/// safe.
class home_directory {
public:
  /// Selects records.
  using record_filter = std::function<bool(const home_record &)>;

  /// A node that was silent for this time is checked, and it counts as gone
  /// after SilenceLimit.
  static constexpr milliseconds SilenceBeforeCheck{2'500};
  static constexpr milliseconds SilenceLimit{6'000};
  static constexpr seconds TombstoneTime{60};

  /// Adds a record if it is newer than the known one; returns whether it was.
  bool offer(const home_record &Record, instant Now);
  /// Notes that a message from the node itself has arrived.
  void nodeAnswered(const node_id &Node, instant Now);
  /// Returns the nodes of the selected records that have been silent for
  /// SilenceBeforeCheck.
  std::vector<node_id> silentNodes(const record_filter &Filter,
                                   instant Now) const;
  /// Marks the selected nodes that have been silent for SilenceLimit as gone
  /// and returns their records. Marks none if at least half of the selected
  /// nodes are silent: then it is more likely that this node is cut off.
  std::vector<home_record> markGone(const record_filter &Filter, instant Now);
  /// Drops the records of nodes that have been gone for TombstoneTime.
  void expire(instant Now);

  /// Returns the record of a node, also if the node is gone; null if unknown.
  const home_record *find(const node_id &Node) const;
  /// Returns the records of all nodes that are not gone, also of those that
  /// take no calls.
  std::vector<home_record> records() const;
  /// Returns all records, also of nodes that are gone.
  std::vector<home_record> recordsWithGone() const;
  /// Returns a digest of records(): equal for equal sets of records, whatever
  /// the order in which they arrived.
  std::uint64_t digest() const;
  /// Returns the digests of records() by bucket.
  const record_buckets &buckets() const { return Buckets; }
  /// Returns the number of nodes that are not gone.
  std::size_t size() const { return LiveNodes; }

private:
  struct entry {
    home_record Record;
    instant LastAnswerAt; ///< the time of the first record before any answer
    instant GoneAt;
  };

  void replace(entry &Entry, const home_record &Record);
  void count(const home_record &Record, bool Added);

  std::map<node_id, entry> Entries;
  record_buckets Buckets{};
  std::size_t LiveNodes = 0;
};

} // namespace chivebeam
