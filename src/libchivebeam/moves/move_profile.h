#pragma once

#include <vector>

#include "config/rule_set.h"

namespace chivebeam {

/// Share and relative duration of one step of a move.
struct share_step {
  unsigned Share = 0; ///< of the new version, in parts of FullShare
  int Weight = 1;     ///< duration relative to the other steps
};

/// Durations, step shares and limits of a move. They follow from the rule
/// alone, so that a replay decides with the same values. A plain value.
struct move_profile {
  /// Steps after the first one, whose share depends on the traffic.
  std::vector<share_step> Steps;
  int FirstStepWeight = 1;
  int VerdictReservePercent = 10; ///< of the move's time, kept for the verdict
  microseconds MaxVerdictReserve{0};
  microseconds MaxStepDuration{0};
  microseconds MinMoveTime{0}; ///< a move with less time left does not start
  unsigned MinFirstShare = 0;
  unsigned MaxFirstShare = 0;
  /// Maximum number of bad calls in the first step, as a fraction of the
  /// service's calls in the whole move.
  double ExposureBudget = 0;
  /// Time that another comparison needs after the new version became suspect.
  microseconds MinComparisonTime{0};
  /// The move is taken back after this time with too few new workers.
  microseconds MissingWorkersTimeout{0};
  /// Maximum fraction of the new version's slots that the next share may use.
  double MaxSlotUtilization = 0;
  microseconds SettleTime{0};         ///< until reports reflect a lower share
  microseconds MinRecentWindow{0};    ///< minimum length
  microseconds MaxReportAge{0};       ///< of a report that counts as fresh
  microseconds MinTrafficInterval{0}; ///< for measuring the call rate
};

/// Returns the profile for the rule: the usual one, or the brief one if the
/// rule asks for it.
const move_profile &profileOf(const move_rule &Rule);

} // namespace chivebeam
