#pragma once

#include <vector>

#include "config/config_head.h"
#include "membership/member_record.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// Kind of a gossip message.
enum class gossip_kind {
  ping = 0,         ///< asks for an ack
  ack = 1,          ///< answers a ping
  ping_request = 2, ///< asks the receiver to ping Target for the sender
  push = 3,         ///< carries updates only
  pull = 4,         ///< requests the records of buckets that differ
  pull_answer = 5,  ///< carries them; the requester returns missing ones
};

/// Content of one gossip datagram between nodes.
struct gossip_message {
  gossip_kind Kind = gossip_kind::push;
  fleet_name Fleet;
  std::uint64_t Sequence = 0;
  member_record Sender;
  address Target; ///< only in a ping_request
  config_head Head;
  std::uint64_t TableDigest = 0;
  std::vector<member_record> Records;
  std::vector<move_progress> Moves;
  /// Only in a pull: digest of each bucket of the sender's member table.
  std::vector<std::uint32_t> BucketDigests;
  /// Only in a pull_answer: buckets for which Records holds every record that
  /// the sender knows.
  std::vector<std::uint8_t> CompleteBuckets;
};

/// Upper bound of the encoded size in bytes, IP and UDP headers included.
std::size_t estimatedBytes(const gossip_message &Message);

/// A message with its destination.
struct addressed_message {
  address To;
  gossip_message Message;
};

} // namespace chivebeam
