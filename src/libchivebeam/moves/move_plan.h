#pragma once

#include "config/rule_set.h"

namespace chivebeam {

/// Computes the shares of a move's steps and their durations. The schedule is
/// recomputed at each step backwards from the deadline, so that time lost in
/// one step shortens all remaining steps evenly. Deterministic; a plain value.
struct move_plan {
  move_rule Rule;
  /// End of the last step; the time after it is kept for the verdict.
  instant End;

  /// Returns the share of the first step for the service's call rate: large
  /// enough for the step to receive some calls, and small enough that a version
  /// that fails every call stays within the exposure budget.
  unsigned firstShare(std::uint64_t CallsPerMinute) const;
  /// Returns the share of the next step. \pre Share < FullShare.
  unsigned nextShare(unsigned Share) const;
  /// Returns the duration of a step with this share that began at Since.
  microseconds durationOf(unsigned Share, instant Since) const;
  /// True if too little time is left to run all steps.
  bool hasTooLittleTime(instant Now) const;
};

move_plan planMove(const move_rule &Rule);

} // namespace chivebeam
