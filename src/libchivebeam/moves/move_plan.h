#pragma once

#include "config/rule_set.h"

namespace chivebeam {

/// The ladder of a move: which share comes next and how long a step lasts. It
/// is planned backwards from the set time at each step anew, so that time lost
/// on one step is taken evenly from those that follow. Deterministic; a plain
/// value.
struct move_plan {
  move_rule Rule;
  instant End; ///< the last step ends then; the rest is kept for the verdict

  /// Returns the share of the first step, from the calls that the service has
  /// a minute: large enough for the step to see some calls, small enough that
  /// a version that fails every call stays within the exposure budget.
  unsigned firstShare(std::uint64_t CallsPerMinute) const;
  /// Returns the next higher share of the ladder. \pre Share < FullShare.
  unsigned nextShare(unsigned Share) const;
  /// Returns how long a step of the share that began at Since lasts.
  microseconds durationOf(unsigned Share, instant Since) const;
  /// True if too little time is left for a whole ladder.
  bool hasTooLittleTime(instant Now) const;
};

move_plan planMove(const move_rule &Rule);

} // namespace chivebeam
