#pragma once

#include <array>
#include <map>
#include <set>
#include <vector>

#include "membership/member_record.h"

namespace chivebeam {

/// Records of all known nodes of the fleet, this node included. Records of dead
/// nodes are kept for a time, so that delayed updates can't mark these nodes as
/// alive again. Digests leave dead nodes out, so that nodes which remove them
/// at different times still agree. Not thread safe.
class member_table {
public:
  /// Number of buckets; a hash of the node id selects the bucket of a record.
  static constexpr std::size_t BucketCount = 128;
  using bucket_digests = std::array<std::uint32_t, BucketCount>;

  struct entry {
    member_record Record;
    instant ChangedAt; ///< when merge last changed the record
    std::size_t Bucket = 0;
    std::size_t LiveIndex = 0; ///< position in live(); unused for a dead node
  };

  member_table() = default;
  member_table(const member_table &) = delete;
  member_table &operator=(const member_table &) = delete;

  /// Stores a record if it supersedes the known one; returns true if it did.
  bool merge(const member_record &Record, instant Now);
  const member_record *find(const node_id &Node) const;
  const std::map<node_id, entry> &entries() const { return Entries; }
  std::vector<member_record> records() const;
  /// Nodes that are not dead, in no particular order.
  const std::vector<const entry *> &live() const { return Live; }
  std::size_t liveCount() const { return Live.size(); }
  const std::set<node_id> &suspects() const { return Suspects; }
  const std::set<node_id> &dead() const { return Dead; }
  /// Removes dead nodes that have not changed since Before.
  void removeDead(instant Before);
  /// Digest of the records that are not dead; equal tables have equal digests.
  std::uint64_t digest() const { return Digest; }
  /// Digest of the records that are not dead in each bucket.
  const bucket_digests &bucketDigests() const { return BucketDigests; }
  /// Records of one bucket, including dead nodes. \pre Bucket < BucketCount.
  const std::vector<const entry *> &bucket(std::size_t Bucket) const {
    return Buckets[Bucket];
  }
  /// Increases with each change that may affect routing.
  std::uint64_t routingRevision() const { return RoutingRevision; }

private:
  void include(entry &Entry);
  void exclude(entry &Entry);
  void updateDigest(const entry &Entry, bool Add);

  std::map<node_id, entry> Entries;
  std::vector<const entry *> Live;
  std::array<std::vector<const entry *>, BucketCount> Buckets;
  std::set<node_id> Suspects;
  std::set<node_id> Dead;
  bucket_digests BucketDigests{};
  std::uint64_t Digest = 0;
  std::uint64_t RoutingRevision = 0;
};

} // namespace chivebeam
