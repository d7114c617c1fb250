#pragma once

#include "base/units.h"

namespace chivebeam {

/// Purpose of a control message, from the highest to the lowest priority.
enum class traffic_class {
  probe = 0,   ///< pings and acks; without them nodes seem dead
  urgent = 1,  ///< a leaving node, a take-back, a new configuration
  updates = 2, ///< other changes
  repair = 3,  ///< answers to a pull
};

/// Limits the bytes that a node sends for control messages: a token bucket in
/// which each class has its own minimum fill level. Under load, repairs and
/// ordinary updates stop first, then urgent updates. Probes may overdraw the
/// bucket, since their rate is limited by the probe interval. Reads no clock;
/// not thread safe.
class control_budget {
public:
  /// \pre BytesPerSecond and Burst are above zero.
  control_budget(std::size_t BytesPerSecond, std::size_t Burst)
      : Rate(static_cast<double>(BytesPerSecond)),
        Capacity(static_cast<double>(Burst)), Tokens(Capacity) {}

  /// Returns true if spend would succeed. Takes no tokens.
  bool canSpend(traffic_class Class, std::size_t Bytes, instant Now);
  /// Takes Bytes tokens and returns true if Class may send Bytes at Now.
  bool spend(traffic_class Class, std::size_t Bytes, instant Now);
  /// Number of calls of spend that returned false.
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
