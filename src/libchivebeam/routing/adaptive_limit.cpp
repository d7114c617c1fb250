#include "routing/adaptive_limit.h"

#include <algorithm>

namespace chivebeam {

namespace {

constexpr unsigned CallsPerWindow = 32;
constexpr unsigned HoldWindows = 16;
/// The limit stays at or above Slots / MinLimitDivisor.
constexpr unsigned MinLimitDivisor = 4;
constexpr int SmoothingDivisor = 8; ///< weight of one call in MeanDuration
/// Windows between baseline measurements.
constexpr unsigned BaselineIntervalWindows = 64;
/// Calls that started under the previous limit still end in the first window
/// after a change, so that window is not used for the measurement.
constexpr unsigned SettlingWindows = 1;
/// Throughput to keep, relative to that before a reduction.
constexpr double MinThroughputRatio = 0.9;

} // namespace

void adaptive_limit::setSlots(unsigned NewSlots) {
  if (NewSlots == Slots)
    return;
  Slots = NewSlots;
  Limit = NewSlots;
  PreviousLimit = 0;
  HoldWindowsLeft = 0;
  SavedLimit = 0;
}

void adaptive_limit::callEnded(microseconds Duration, bool Overloaded,
                               bool Saturated, instant Now) {
  if (WindowCalls + WindowRefusals == 0)
    WindowStart = Now - Duration;
  if (Overloaded) {
    ++WindowRefusals;
  } else {
    ++WindowCalls;
    WindowSum += Duration;
    MeanDuration =
        MeanDuration.count() == 0
            ? Duration
            : MeanDuration + (Duration - MeanDuration) / SmoothingDivisor;
  }
  WindowSaturated += Saturated ? 1 : 0;
  if (WindowCalls + WindowRefusals >= CallsPerWindow)
    closeWindow(Now);
}

void adaptive_limit::closeWindow(instant Now) {
  unsigned MinLimit = std::max(1U, Slots / MinLimitDivisor);
  if (WindowRefusals * 2 > CallsPerWindow / 4) {
    Limit = std::max(MinLimit, Limit - std::max(1U, Limit / 10));
    PreviousLimit = 0;
    SavedLimit = 0;
  } else if (WindowCalls > 0) {
    microseconds Mean = WindowSum / WindowCalls;
    double Seconds = std::chrono::duration<double>(Now - WindowStart).count();
    bool Busy = WindowSaturated * 2 >= CallsPerWindow;
    if (Baseline.count() == 0 || Mean < Baseline)
      Baseline = Mean;
    if (!measureBaseline(Mean) && (Busy || Limit < Slots))
      adjust(Mean, WindowCalls / std::max(Seconds, 1e-6));
  }
  WindowCalls = WindowRefusals = WindowSaturated = 0;
  WindowSum = microseconds(0);
}

/// Starts, continues or completes a baseline measurement at half the limit.
/// Returns true if it did; the window must not adjust the limit then.
bool adaptive_limit::measureBaseline(microseconds Mean) {
  ++WindowsSinceBaseline;
  if (SavedLimit == 0) {
    bool Due = WindowsSinceBaseline >= BaselineIntervalWindows &&
               Mean * 2 > Baseline * 3;
    if (!Due || PreviousLimit != 0)
      return false;
    SavedLimit = Limit;
    Limit = std::max(1U, Limit / 2);
    WindowsSinceBaseline = 0;
    return true;
  }
  if (WindowsSinceBaseline <= SettlingWindows)
    return true;
  Baseline = Mean;
  Limit = SavedLimit;
  SavedLimit = 0;
  WindowsSinceBaseline = 0;
  return true;
}

void adaptive_limit::adjust(microseconds Mean, double Throughput) {
  unsigned MinLimit = std::max(1U, Slots / MinLimitDivisor);
  if (PreviousLimit != 0 &&
      Throughput < PreviousThroughput * MinThroughputRatio) {
    Limit = PreviousLimit;
    HoldWindowsLeft = HoldWindows;
  }
  PreviousLimit = 0;
  if (Mean * 2 <= Baseline * 3) {
    Limit = std::min(Slots, Limit + 1);
  } else if (HoldWindowsLeft > 0) {
    --HoldWindowsLeft;
  } else if (Mean >= Baseline * 2 && Limit > MinLimit) {
    PreviousLimit = Limit;
    PreviousThroughput = Throughput;
    Limit = std::max(MinLimit, Limit - std::max(1U, Limit / 5));
  }
}

} // namespace chivebeam
