#pragma once

#include <map>

#include "limits/usage_messages.h"

namespace chivebeam {

/// The part of a workspace's token bucket that one owner holds. Tokens arrive
/// at a constant rate. Tokens in the bucket and granted tokens that may be
/// unspent are together never more than Depth, so that in any interval at most
/// Depth plus the tokens that arrive are spent. It begins empty. Not thread
/// safe.
class usage_bucket {
public:
  /// Tokens arrive from Begin on.
  explicit usage_bucket(instant Begin) : FilledAt(Begin) {}

  /// Changes the rate a second and the depth from Now on.
  void setLimit(double NewPerSecond, double NewDepth, instant Now);
  /// Grants what the node asks for as far as there are tokens. Waiting calls
  /// come first; their tokens are spent at once.
  usage_grant answer(const node_id &Node, const usage_ask &Ask, instant Now);

private:
  struct holding {
    unsigned Tokens = 0; ///< granted ahead and not reported as spent
    instant Until;       ///< spent or lapsed by then
  };

  void fill(instant Now);
  void dropLapsed(instant Now);
  /// Settles what the node reports about tokens granted earlier.
  void settle(const node_id &Node, const usage_ask &Ask);
  microseconds retryAfter() const;

  double PerSecond = 0;
  double Depth = 0;
  double Level = 0;
  unsigned Held = 0; ///< sum of Holdings
  instant FilledAt;
  instant NextDropAt;
  std::map<node_id, holding> Holdings;
};

} // namespace chivebeam
