#pragma once

#include <string_view>

#include "base/address.h"
#include "base/names.h"
#include "base/units.h"

namespace chivebeam {

enum class member_state { alive = 0, suspect = 1, dead = 2 };
enum class worker_state { absent = 0, ready = 1, leaving = 2 };

std::string_view toString(member_state State);
std::string_view toString(worker_state State);

/// State of the backend server beside a node, as known to the fleet.
struct worker_record {
  service_name Service;
  version_name Version;
  unsigned Slots = 0;
  worker_state State = worker_state::absent;
  instant ReadySince;

  friend bool operator==(const worker_record &,
                         const worker_record &) = default;
};

/// Membership record of one node. Only the node itself raises its incarnation;
/// other nodes may only change the state. A plain value.
struct member_record {
  node_id Node;
  incarnation Incarnation;
  member_state State = member_state::alive;
  bool Leaving = false; ///< accepts no new calls; set by the node itself
  bool Watcher = false; ///< holds a watcher lease in the store
  failure_domain Domain;
  region_name Region;
  address Peer;                ///< UDP and TCP between nodes
  std::uint16_t RelayPort = 0; ///< TCP; accepts calls for the backend server
  worker_record Worker;

  friend bool operator==(const member_record &,
                         const member_record &) = default;
};

/// True if New replaces Old: the higher incarnation wins, then the worse state.
/// If two processes use the same node id and incarnation, their records are
/// ordered by address, so that all nodes select the same one.
bool supersedes(const member_record &New, const member_record &Old);

/// False if a field is out of range; such a record is ignored.
bool isValid(const member_record &Record);

/// True if the record is sent before other updates: its node accepts no new
/// calls.
bool isUrgent(const member_record &Record);

/// True if replacing Old by New may change how calls are routed.
bool changesRouting(const member_record &New, const member_record &Old);

/// Upper bound of the encoded size in bytes.
std::size_t estimatedBytes(const member_record &Record);

} // namespace chivebeam
