#pragma once

#include "base/units.h"

namespace chivebeam {

/// Intervals and limits of the membership protocol.
struct membership_settings {
  milliseconds ProbeInterval{1'000};
  milliseconds ProbeTimeout{300};
  milliseconds SuspicionTimeout{3'000};
  milliseconds GossipInterval{200};
  /// Minimum time between pushes of new updates.
  milliseconds EagerPushInterval{20};
  /// How long dead nodes are kept; longer than a partition between regions
  /// lasts, so that the nodes find each other again.
  seconds DeadRetention{4 * 3'600};
  milliseconds DeadProbeInterval{10'000};
  /// Between probes of dead nodes during RejoinPeriod, which starts when a dead
  /// node returns.
  milliseconds RejoinProbeInterval{100};
  milliseconds RejoinPeriod{10'000};
  /// A node that receives no messages reports no failures until this time has
  /// passed.
  milliseconds IsolationGrace{15'000};
  milliseconds PullInterval{1'000};
  /// Between pulls of a joining node while each pull brings many changes.
  milliseconds FastPullInterval{100};
  unsigned IndirectProbes = 3;
  unsigned PushFanout = 4; ///< peers that receive a push of new updates
  /// Upper bound that fits one MTU with the headers of a tunnel.
  std::size_t MaxDatagramBytes = 1'200;
  unsigned MaxPullAnswers = 3; ///< datagrams that answer one pull
  /// Control budget for bytes sent; sent and received bytes together stay
  /// within twice this rate.
  std::size_t BytesPerSecond = 8 << 10;
  std::size_t BurstBytes = 24 << 10;
};

} // namespace chivebeam
