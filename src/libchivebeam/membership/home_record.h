#pragma once

#include "membership/member_record.h"

namespace chivebeam {

/// Tells two starts of a backend server apart, also when both have one name.
struct worker_start {
  worker_id Worker;
  std::int64_t StartedAtMs =
      0; ///< Unix time, by the backend server's own clock

  friend bool operator==(const worker_start &, const worker_start &) = default;
};

/// What a home node says of itself and of the backend server beside it. The
/// home node alone writes it; copies that crossed on the way are ordered by
/// isNewer. A plain value.
struct home_record {
  node_id Node;
  address Peer; ///< takes calls and words of other nodes
  failure_domain Domain;
  worker_start Start;
  std::uint64_t Report = 0; ///< sequence of the worker's report it rests on
  std::uint64_t Change = 0; ///< raised by the node for a change of its own
  bool NodeLeaving = false; ///< the node itself is about to stop
  worker_record Worker;     ///< ReadySince: when its cold start is over

  friend bool operator==(const home_record &, const home_record &) = default;
};

/// True if New is to replace Old: the later start of a backend server wins,
/// then the later report, then the later change. \pre both are of one node.
bool isNewer(const home_record &New, const home_record &Old);

/// True if calls may be sent to the backend server.
bool takesCalls(const home_record &Record);

} // namespace chivebeam
