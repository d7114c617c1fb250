#pragma once

#include <vector>

#include "config/rule_set.h"

namespace chivebeam {

/// One step of a move's ladder.
struct share_step {
  unsigned Share = 0; ///< of the new version, in parts of FullShare
  int Weight = 1;     ///< part of the move's time, beside the other rungs
};

/// The time scale of a move. It follows from the rule alone, so that a replay
/// decides at the same pace. A plain value.
struct move_profile {
  /// Rungs above the first step, whose share depends on traffic.
  std::vector<share_step> Steps;
  int FirstStepWeight = 1;
  int VerdictReservePercent = 10; ///< of the time, kept for the verdict
  microseconds MaxVerdictReserve{0};
  microseconds MaxStepDuration{0};
  microseconds MinMoveTime{0}; ///< less time than this is too little to start
  unsigned MinFirstShare = 0;
  unsigned MaxFirstShare = 0;
  /// Bad calls that the first step may let through, as a part of the service's
  /// calls in the move.
  double ExposureBudget = 0;
  microseconds MinComparisonTime{
      0}; ///< for another comparison after a suspicion
  microseconds MissingWorkersTimeout{
      0}; ///< too few new workers are put up with
  /// Part of the new version's slots that the next share may fill.
  double MaxSlotUtilization = 0;
  microseconds SettleTime{0};      ///< until a lower share shows in the reports
  microseconds MinRecentWindow{0}; ///< length of the recent window
  microseconds MaxReportAge{0};    ///< an older report is not fresh
  microseconds MinTrafficInterval{0}; ///< over which traffic is measured
};

/// Returns the pace that the rule asks for.
const move_profile &profileOf(const move_rule &Rule);

} // namespace chivebeam
