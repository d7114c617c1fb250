#include "moves/move_profile.h"

#include "moves/move_progress.h"

namespace chivebeam {

namespace {

move_profile usualProfile() {
  move_profile Profile;
  Profile.Steps = {
      {200, 1}, {1'000, 1}, {2'500, 1}, {5'000, 1}, {FullShare, 2}};
  Profile.MaxVerdictReserve = std::chrono::minutes(2);
  Profile.MaxStepDuration = std::chrono::minutes(10);
  Profile.MinMoveTime = seconds(15);
  Profile.MinFirstShare = 10;
  Profile.MaxFirstShare = 500;
  Profile.ExposureBudget = 0.0005;
  Profile.MinComparisonTime = seconds(10);
  Profile.MissingWorkersTimeout = seconds(10);
  Profile.MaxSlotUtilization = 0.8;
  Profile.SettleTime = milliseconds(750);
  Profile.MinRecentWindow = seconds(2);
  Profile.MaxReportAge = seconds(2);
  Profile.MinTrafficInterval = seconds(2);
  return Profile;
}

/// Most of the time is spent at small shares, so that a version that fails only
/// under load receives less than a tenth of the service's calls before the
/// failures are detected.
move_profile briefProfile() {
  move_profile Profile;
  Profile.Steps = {{1'000, 2}, {2'500, 1}, {FullShare, 2}};
  Profile.FirstStepWeight = 2;
  Profile.MaxVerdictReserve = milliseconds(1'500);
  Profile.MaxStepDuration = seconds(20);
  Profile.MinMoveTime = seconds(4);
  Profile.MinFirstShare = 100;
  Profile.MaxFirstShare = 500;
  Profile.ExposureBudget = 0.05;
  Profile.MinComparisonTime = seconds(10);
  Profile.MissingWorkersTimeout = seconds(3);
  // The old version's backend servers stop when the move ends, so the move
  // continues with whatever capacity the new version has.
  Profile.MaxSlotUtilization = 4.0;
  Profile.SettleTime = milliseconds(300);
  Profile.MinRecentWindow = seconds(1);
  Profile.MaxReportAge = seconds(1);
  Profile.MinTrafficInterval = seconds(1);
  return Profile;
}

} // namespace

const move_profile &profileOf(const move_rule &Rule) {
  static const move_profile Usual = usualProfile();
  static const move_profile Brief = briefProfile();
  return Rule.Brief ? Brief : Usual;
}

} // namespace chivebeam
