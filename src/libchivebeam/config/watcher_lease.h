#pragma once

#include <algorithm>

#include "base/units.h"

namespace chivebeam {

/// Local view of the lease that entitles this node to watch the store. Its
/// expiry is counted from the time at which the grant or keep-alive call was
/// sent, not answered, minus a safety margin. The node therefore gives the
/// lease up before the store can grant it to another node, and a node that was
/// paused beyond the expiry detects it when it resumes. Not thread safe.
class watcher_lease {
public:
  /// \param TimeToLive duration of the lease in the store.
  /// \param Margin how much earlier this node treats the lease as expired.
  /// \pre Margin < TimeToLive.
  watcher_lease(microseconds TimeToLive, microseconds Margin)
      : Duration(TimeToLive - Margin) {}

  /// Records that a call sent at SentAt granted or renewed the lease. An older
  /// call than the last one has no effect.
  void renewed(instant SentAt) {
    ExpiresAt = std::max(ExpiresAt, SentAt + Duration);
  }
  /// Records that this node has given up the lease.
  void released() { ExpiresAt = instant(); }
  /// True if this node still holds the lease at Now, so that no other node can.
  bool isHeld(instant Now) const { return Now < ExpiresAt; }
  /// Returns when this node stops treating the lease as held; zero if there is
  /// none.
  instant expiresAt() const { return ExpiresAt; }

private:
  microseconds Duration;
  instant ExpiresAt;
};

} // namespace chivebeam
