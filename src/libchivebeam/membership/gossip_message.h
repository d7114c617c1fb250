#pragma once

#include <vector>

#include "config/config_head.h"
#include "membership/member_record.h"
#include "moves/move_progress.h"

namespace chivebeam {

enum class gossip_kind {
  ping = 0,         ///< asks for an ack
  ack = 1,          ///< answers a ping
  ping_request = 2, ///< asks the receiver to ping Target for the sender
  push = 3,         ///< carries news only
  pull = 4,         ///< asks for the records of buckets that differ
  pull_answer = 5,  ///< carries them; the asker sends back what is missing
};

/// One datagram between nodes.
struct gossip_message {
  gossip_kind Kind = gossip_kind::push;
  fleet_name Fleet;
  std::uint64_t Sequence = 0;
  member_record Sender;
  address Target; ///< of ping_request only
  config_head Head;
  std::uint64_t TableDigest = 0;
  std::vector<member_record> Records;
  std::vector<move_progress> Moves;
  /// Of pull only: digest of each bucket of the sender's table.
  std::vector<std::uint32_t> BucketDigests;
  /// Of pull_answer only: buckets of which Records holds all that the sender
  /// knows.
  std::vector<std::uint8_t> CompleteBuckets;
};

/// Upper estimate of the encoded size, with the IP and UDP headers.
std::size_t estimatedBytes(const gossip_message &Message);

/// A message and where it goes.
struct addressed_message {
  address To;
  gossip_message Message;
};

} // namespace chivebeam
