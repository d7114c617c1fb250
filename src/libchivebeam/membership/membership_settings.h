#pragma once

#include "base/units.h"

namespace chivebeam {

/// Times and sizes of the membership protocol.
struct membership_settings {
  milliseconds ProbeInterval{1'000};
  milliseconds ProbeTimeout{300};
  milliseconds SuspicionTimeout{3'000};
  milliseconds GossipInterval{200};
  /// Eager pushes of one node are at least so far apart.
  milliseconds EagerPushInterval{20};
  /// Longer than regions stay cut from each other.
  seconds DeadRetention{4 * 3'600};
  milliseconds DeadProbeInterval{10'000};
  /// Between probes of dead nodes once one of them has come back.
  milliseconds RejoinProbeInterval{100};
  milliseconds RejoinPeriod{10'000};
  /// A node that hears nobody for so long may accuse others.
  milliseconds IsolationGrace{15'000};
  milliseconds PullInterval{1'000};
  /// Between pulls of a node that joins, while each teaches it much.
  milliseconds FastPullInterval{100};
  unsigned IndirectProbes = 3;
  unsigned PushFanout = 4; ///< peers told at once of news
  /// Upper bound of a datagram; one MTU less headers of a tunnel.
  std::size_t MaxDatagramBytes = 1'200;
  unsigned MaxPullAnswers = 3; ///< datagrams that answer one pull
  /// Control budget; what is sent and what is received stay within twice it.
  std::size_t BytesPerSecond = 8 << 10;
  std::size_t BurstBytes = 24 << 10;
};

} // namespace chivebeam
