#pragma once

#include <optional>

#include "claims/claim.h"

namespace chivebeam {

enum class holder_step {
  retry,  ///< with the same claim id, at whoever owns the log then
  run,    ///< the call may be sent to a backend server
  refuse, ///< the call is not run; its claim is to be released
};

/// When a question without a final answer is given up.
struct holder_times {
  instant RetryUntil; ///< no further question after this
  instant Deadline;   ///< of the call; it may not start after this
};

/// Decides what an entry node does after a question; Answer is empty if none
/// came. Thread safe.
holder_step decideHolderStep(const std::optional<claim_answer> &Answer,
                             const holder_times &Times, instant Now);

} // namespace chivebeam
