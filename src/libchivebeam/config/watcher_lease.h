#pragma once

#include <algorithm>

#include "base/units.h"

namespace chivebeam {

/// What a holder may believe of its lease. The end is counted from the moment
/// at which a call was sent, not answered, less a margin, so that the holder
/// stops believing before the store lets another in; a holder that was paused
/// past the end finds it passed on waking. Not thread safe.
class watcher_lease {
public:
  /// \pre Margin < TimeToLive.
  watcher_lease(microseconds TimeToLive, microseconds Margin)
      : Duration(TimeToLive - Margin) {}

  /// The lease was granted or kept by a call sent at SentAt.
  void renewed(instant SentAt) {
    ExpiresAt = std::max(ExpiresAt, SentAt + Duration);
  }
  void released() { ExpiresAt = instant(); }
  /// True if no other node can hold the seat at Now.
  bool isHeld(instant Now) const { return Now < ExpiresAt; }
  instant expiresAt() const { return ExpiresAt; }

private:
  microseconds Duration;
  instant ExpiresAt;
};

} // namespace chivebeam
