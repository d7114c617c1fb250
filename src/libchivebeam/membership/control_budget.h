#pragma once

#include "base/units.h"

namespace chivebeam {

/// What a message is for, from the first to go to the last.
enum class traffic_class {
  probe = 0,   ///< pings and their answers, without which nodes seem dead
  urgent = 1,  ///< a node that leaves, a take-back, a new configuration
  updates = 2, ///< other changes
  repair = 3,  ///< answers to a pull
};

/// Bounds the bytes that a node sends for control: a token bucket in which
/// each class may spend only down to a floor of its own. In a storm repairs
/// and ordinary news pause first, then urgent news; probes, whose rate is
/// bounded by itself, may overdraw. A pure state machine; not thread safe.
class control_budget {
public:
  /// \pre BytesPerSecond and Burst are above zero.
  control_budget(std::size_t BytesPerSecond, std::size_t Burst)
      : Rate(static_cast<double>(BytesPerSecond)),
        Capacity(static_cast<double>(Burst)), Tokens(Capacity) {}

  /// Returns true if spend would.
  bool canSpend(traffic_class Class, std::size_t Bytes, instant Now);
  /// Returns true and spends Bytes if the class may send them at Now.
  bool spend(traffic_class Class, std::size_t Bytes, instant Now);
  /// How often spend has said no.
  std::uint64_t refusedCount() const { return Refused; }

private:
  void refill(instant Now);
  double minimumTokens(traffic_class Class) const;

  double Rate;
  double Capacity;
  double Tokens;
  instant RefilledAt;
  std::uint64_t Refused = 0;
};

} // namespace chivebeam
