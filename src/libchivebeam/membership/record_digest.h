#pragma once

#include <array>

#include "membership/home_record.h"
#include "moves/service_move.h"

namespace chivebeam {

/// Records are divided into buckets, so that two nodes whose records differ
/// exchange only those of the buckets that differ.
inline constexpr std::size_t RecordBucketCount = 64;
/// Digests of the records of each bucket.
using record_buckets = std::array<std::uint64_t, RecordBucketCount>;

/// Returns the bucket of the record of a node. Thread safe.
std::size_t bucketOf(const node_id &Node);
/// Returns the set of buckets that differ, one bit for each. Thread safe.
std::uint64_t differingBuckets(const record_buckets &Left,
                               const record_buckets &Right);
/// Returns whether the set contains the bucket of the node. Thread safe.
bool coversNode(std::uint64_t Buckets, const node_id &Node);

/// Returns a hash of the version of a record. The digest of a set of records is
/// the exclusive or of their hashes. Thread safe.
std::uint64_t digestOf(const home_record &Record);

/// Returns a hash of the state of a move that matters for calls. Thread safe.
std::uint64_t digestOf(const service_move &Move);

/// Decides whether to request the records of a peer whose digest differs from
/// this node's. Digests also differ while a change is on its way, so the same
/// two digests must differ twice in a row. Not thread safe.
class digest_comparison {
public:
  /// Compares the digests that hold now; returns true if the records are to be
  /// requested.
  bool differs(std::uint64_t Own, std::uint64_t OfPeer);

private:
  std::uint64_t LastOwn = 0;
  std::uint64_t LastOfPeer = 0;
};

} // namespace chivebeam
