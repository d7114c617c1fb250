#pragma once

#include "base/units.h"

namespace chivebeam {

/// Finds how many calls a backend server runs well at a time when its
/// announced slots are too many or it has slowed down. While calls take far
/// longer than they did, the limit is lowered step by step as long as
/// throughput does not suffer; a server that refuses work lowers it at once.
/// It rises again as calls get faster. How long a call takes in an unhurried
/// server is measured anew from time to time at half the limit. Not thread
/// safe.
class adaptive_limit {
public:
  /// Sets the most that may run, and starts from there.
  void setSlots(unsigned NewSlots);
  unsigned current() const { return Limit; }
  /// Returns how long a call takes of late; zero before the first.
  microseconds serviceTime() const { return MeanDuration; }

  /// Notes the end of a call. Overloaded: the backend server itself refused
  /// it. Saturated: as many calls ran as the limit allows.
  void callEnded(microseconds Duration, bool Overloaded, bool Saturated,
                 instant Now);

private:
  void closeWindow(instant Now);
  void adjust(microseconds Mean, double Throughput);
  bool measureBaseline(microseconds Mean);

  unsigned Slots = 0;
  unsigned Limit = 0;
  unsigned PreviousLimit = 0;      ///< before a lowering on trial; zero if none
  double PreviousThroughput = 0.0; ///< at PreviousLimit, calls a second
  unsigned HoldWindowsLeft = 0;    ///< windows until the next lowering
  unsigned SavedLimit = 0;         ///< restored after the baseline is measured
  unsigned WindowsSinceBaseline = 0; ///< windows
  microseconds MeanDuration{0};
  microseconds Baseline{0}; ///< of a call in an unhurried server
  instant WindowStart;
  microseconds WindowSum{0};
  unsigned WindowCalls = 0;
  unsigned WindowRefusals = 0;
  unsigned WindowSaturated = 0;
};

} // namespace chivebeam
