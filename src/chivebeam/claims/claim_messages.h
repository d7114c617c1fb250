#pragma once

#include "claims/claim_codec.h"
#include "claims/claim_shard.h"

namespace chivebeam {

/// A question that the control thread passes to the claim duty.
struct claim_command {
  claim_ticket Ticket; ///< zero: no answer is wanted
  claim_message Message;
  /// Raised each time this node becomes the owner of the service's log.
  std::uint64_t Ownership = 0;
  microseconds CommitInterval{0};
};

} // namespace chivebeam
