#pragma once

#include <cstdint>

#include "config/rule_set.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// The move of one service with what is known of it. A plain value.
struct service_move {
  move_rule Rule;
  move_progress Progress;
  std::uint64_t Order = 0; ///< raised with each order of the operator

  /// True until the verdict is recorded.
  bool isInProgress() const { return Progress.Recorded == move_verdict::none; }
};

} // namespace chivebeam
