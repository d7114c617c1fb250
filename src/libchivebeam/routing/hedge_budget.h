#pragma once

#include <array>
#include <cstdint>

#include "base/units.h"

namespace chivebeam {

/// Limits second copies to a percentage of the calls and of their run time. A
/// copy is allowed if the copies of the window, the open ones with their
/// expected time and this one stay within the percentage of the run time of
/// the window's calls. Not thread safe.
class hedge_budget {
public:
  /// Time over which the run time of copies and calls is compared.
  static constexpr microseconds Window{10'000'000};

  explicit hedge_budget(unsigned Percent) : Percent(Percent) {}

  /// Counts a call that may be hedged; it fills the budget of copies.
  void callStarted();
  /// Records the run time of a call that may be hedged.
  void recordWork(microseconds RunTime, instant Now);
  /// True if a copy with this expected run time may be sent now.
  bool mayTake(microseconds Expected, instant Now);
  /// Counts a copy that is about to be sent. \pre mayTake(Expected, Now).
  void take(microseconds Expected);
  /// Replaces the expected run time of a copy by the time that it took, zero if
  /// it did not run. Call once for each copy that was taken.
  void copyEnded(microseconds Expected, microseconds Took, instant Now);

private:
  /// Parts of the window; the oldest is dropped as a whole.
  static constexpr std::int64_t PartCount = 20;

  struct part {
    microseconds Base{0};
    microseconds Extra{0};
  };

  part &currentPart(instant Now);

  unsigned Percent;
  double Copies = 0;        ///< that may be sent now
  microseconds Reserved{0}; ///< expected run time of open copies
  std::array<part, PartCount> Parts;
  std::int64_t Newest = 0; ///< index of the newest part since the epoch
};

} // namespace chivebeam
