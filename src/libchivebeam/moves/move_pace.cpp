#include "moves/move_pace.h"

#include "moves/move_progress.h"

namespace chivebeam {

namespace {

move_pace usualPace() {
  move_pace Pace;
  Pace.Ladder = {{200, 1}, {1'000, 1}, {2'500, 1}, {5'000, 1}, {FullShare, 2}};
  Pace.MaxReserve = std::chrono::minutes(2);
  Pace.MaxStepDuration = std::chrono::minutes(10);
  Pace.MinMoveTime = seconds(15);
  Pace.MinFirstShare = 10;
  Pace.MaxFirstShare = 500;
  Pace.ExposurePart = 0.0005;
  Pace.MinCompareTime = seconds(10);
  Pace.VanishedLimit = seconds(10);
  Pace.MaxSlotUse = 0.8;
  Pace.SettleTime = milliseconds(750);
  Pace.MinRecent = seconds(2);
  Pace.FreshReport = seconds(2);
  Pace.TrafficStretch = seconds(2);
  return Pace;
}

/// Most of the time passes at small shares: a version that fails only under
/// load then gets under a tenth of the service's calls before it is noticed.
move_pace briefPace() {
  move_pace Pace;
  Pace.Ladder = {{1'000, 2}, {2'500, 1}, {FullShare, 2}};
  Pace.FirstWeight = 2;
  Pace.MaxReserve = milliseconds(1'500);
  Pace.MaxStepDuration = seconds(20);
  Pace.MinMoveTime = seconds(4);
  Pace.MinFirstShare = 100;
  Pace.MaxFirstShare = 500;
  Pace.ExposurePart = 0.05;
  Pace.MinCompareTime = seconds(10);
  Pace.VanishedLimit = seconds(3);
  // The old version's backend servers end with the move, so it goes on with
  // whatever room the new ones have.
  Pace.MaxSlotUse = 4.0;
  Pace.SettleTime = milliseconds(300);
  Pace.MinRecent = seconds(1);
  Pace.FreshReport = seconds(1);
  Pace.TrafficStretch = seconds(1);
  return Pace;
}

} // namespace

const move_pace &paceOf(const move_rule &Rule) {
  static const move_pace Usual = usualPace();
  static const move_pace Brief = briefPace();
  return Rule.Brief ? Brief : Usual;
}

} // namespace chivebeam
