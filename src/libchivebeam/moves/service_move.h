#pragma once

#include <cstdint>

#include "config/rule_set.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// A service's move: its rule and its known progress. A plain value.
struct service_move {
  move_rule Rule;
  move_progress Progress;
  std::uint64_t Order = 0; ///< number of the operator's order; increases

  /// True until the verdict is recorded.
  bool isInProgress() const { return Progress.Recorded == move_verdict::none; }
};

} // namespace chivebeam
