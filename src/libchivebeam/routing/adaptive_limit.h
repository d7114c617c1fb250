#pragma once

#include "base/units.h"

namespace chivebeam {

/// Adapts the number of concurrent calls to what a backend server can serve,
/// for when it announces more slots than it can use or slows down. While calls
/// take at least twice as long as the baseline, the limit is reduced step by
/// step; a reduction that costs throughput is reverted. If the server itself
/// refuses calls, the limit is reduced at once. It rises again as calls get
/// faster. The baseline, the duration of a call in an uncontended server, is
/// measured again periodically at half the limit. Not thread safe.
class adaptive_limit {
public:
  /// Sets the announced slots and restarts the limit from them. Does nothing if
  /// their number is unchanged.
  void setSlots(unsigned NewSlots);
  unsigned current() const { return Limit; }
  /// Returns the smoothed duration of recent calls; zero before the first call.
  microseconds serviceTime() const { return MeanDuration; }

  /// Records the end of a call. Overloaded: the backend server itself refused
  /// it. Saturated: as many calls were running as the limit allows.
  void callEnded(microseconds Duration, bool Overloaded, bool Saturated,
                 instant Now);

private:
  void closeWindow(instant Now);
  void adjust(microseconds Mean, double Throughput);
  bool measureBaseline(microseconds Mean);

  unsigned Slots = 0;
  unsigned Limit = 0;
  unsigned PreviousLimit = 0;      ///< before a trial reduction; zero: no trial
  double PreviousThroughput = 0.0; ///< at PreviousLimit, in calls per second
  unsigned HoldWindowsLeft = 0;    ///< until the next reduction is allowed
  unsigned SavedLimit = 0;         ///< restored after the baseline measurement
  /// Since the last baseline measurement started or ended.
  unsigned WindowsSinceBaseline = 0;
  microseconds MeanDuration{0};
  microseconds Baseline{0}; ///< duration of a call in an uncontended server
  instant WindowStart;
  microseconds WindowSum{0};
  unsigned WindowCalls = 0;
  unsigned WindowRefusals = 0;
  unsigned WindowSaturated = 0;
};

} // namespace chivebeam
