#pragma once

#include "claims/claim_codec.h"
#include "claims/claim_shard.h"

namespace chivebeam {

/// A claim message that the control thread passes to the claim event loop.
struct claim_command {
  claim_ticket Ticket; ///< zero: no answer is expected
  claim_message Message;
  /// Incremented each time this node becomes the owner of the service's log.
  std::uint64_t Ownership = 0;
  microseconds CommitInterval{0};
};

} // namespace chivebeam
