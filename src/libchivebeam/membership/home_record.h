#pragma once

#include "membership/member_record.h"

namespace chivebeam {

/// Identifies one start of a backend server; two starts may share a name.
struct worker_start {
  worker_id Worker;
  std::int64_t StartedAtMs = 0; ///< Unix time by the backend server's own clock

  friend bool operator==(const worker_start &, const worker_start &) = default;
};

/// State of a home node and of the backend server beside it. Only the home
/// node writes it; isNewer orders copies that arrive out of order. A plain
/// value.
struct home_record {
  node_id Node;
  address Peer; ///< accepts calls and messages of other nodes
  failure_domain Domain;
  worker_start Start;
  std::uint64_t Report = 0; ///< sequence of the worker report it is based on
  std::uint64_t Change = 0; ///< raised with each change by the node itself
  bool NodeLeaving = false; ///< the node is about to stop
  bool Watches = false;     ///< the node watches the store for other nodes
  bool Coordinates = false; ///< the node coordinates the moves
  /// The watchers found that the node is gone. Only this flag is set by other
  /// nodes; the node itself refutes it with its next change.
  bool Gone = false;
  worker_record Worker; ///< ReadySince: end of its cold start

  friend bool operator==(const home_record &, const home_record &) = default;
};

/// True if New replaces Old: the record with the later start of the backend
/// server wins, then the later report, then the later change, then the one that
/// says that the node is gone.
/// \pre New and Old are records of the same node.
bool isNewer(const home_record &New, const home_record &Old);

/// True if the record says more than that a process of the node has started.
bool mattersToOthers(const home_record &Record);

/// True if calls may be sent to the backend server.
bool takesCalls(const home_record &Record);

} // namespace chivebeam
