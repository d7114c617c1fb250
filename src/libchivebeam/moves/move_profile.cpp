#include "moves/move_profile.h"

#include "moves/move_progress.h"

namespace chivebeam {

namespace {

move_profile usualProfile() {
  move_profile Pace;
  Pace.Steps = {{200, 1}, {1'000, 1}, {2'500, 1}, {5'000, 1}, {FullShare, 2}};
  Pace.MaxVerdictReserve = std::chrono::minutes(2);
  Pace.MaxStepDuration = std::chrono::minutes(10);
  Pace.MinMoveTime = seconds(15);
  Pace.MinFirstShare = 10;
  Pace.MaxFirstShare = 500;
  Pace.ExposureBudget = 0.0005;
  Pace.MinComparisonTime = seconds(10);
  Pace.MissingWorkersTimeout = seconds(10);
  Pace.MaxSlotUtilization = 0.8;
  Pace.SettleTime = milliseconds(750);
  Pace.MinRecentWindow = seconds(2);
  Pace.MaxReportAge = seconds(2);
  Pace.MinTrafficInterval = seconds(2);
  return Pace;
}

/// Most of the time passes at small shares: a version that fails only under
/// load then gets under a tenth of the service's calls before it is noticed.
move_profile briefProfile() {
  move_profile Pace;
  Pace.Steps = {{1'000, 2}, {2'500, 1}, {FullShare, 2}};
  Pace.FirstStepWeight = 2;
  Pace.MaxVerdictReserve = milliseconds(1'500);
  Pace.MaxStepDuration = seconds(20);
  Pace.MinMoveTime = seconds(4);
  Pace.MinFirstShare = 100;
  Pace.MaxFirstShare = 500;
  Pace.ExposureBudget = 0.05;
  Pace.MinComparisonTime = seconds(10);
  Pace.MissingWorkersTimeout = seconds(3);
  // The old version's backend servers end with the move, so it goes on with
  // whatever room the new ones have.
  Pace.MaxSlotUtilization = 4.0;
  Pace.SettleTime = milliseconds(300);
  Pace.MinRecentWindow = seconds(1);
  Pace.MaxReportAge = seconds(1);
  Pace.MinTrafficInterval = seconds(1);
  return Pace;
}

} // namespace

const move_profile &profileOf(const move_rule &Rule) {
  static const move_profile Usual = usualProfile();
  static const move_profile Brief = briefProfile();
  return Rule.Brief ? Brief : Usual;
}

} // namespace chivebeam
