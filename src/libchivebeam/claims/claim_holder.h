#pragma once

#include <optional>

#include "claims/claim.h"

namespace chivebeam {

enum class holder_step {
  retry,  ///< with the same claim id, at the log's owner at that time
  run,    ///< the call may be sent to a backend server
  refuse, ///< the call must not run; its claim is to be released
};

/// Time limits of a claim request.
struct holder_times {
  instant RetryUntil; ///< no further attempt after this
  instant Deadline;   ///< of the call; it must not start after this
};

/// Decides what an entry node does after a claim request. Answer is empty if
/// none arrived. Thread safe.
holder_step decideHolderStep(const std::optional<claim_answer> &Answer,
                             const holder_times &Times, instant Now);

} // namespace chivebeam
