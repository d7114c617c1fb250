#pragma once

#include <map>
#include <memory>
#include <vector>

#include "claims/claim_owner.h"
#include "config/snapshot.h"
#include "membership/home_record.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// A backend server that can be called through its home node.
struct endpoint {
  node_id Node;
  address Relay; ///< of the home node, for calls from other nodes
  failure_domain Domain;
  region_name Region;
  version_name Version;
  unsigned Slots = 0;
  instant ReadySince;
  worker_id Worker;             ///< empty if backend servers have no ids
  std::int64_t StartedAtMs = 0; ///< by the backend server's own clock
};

/// The backend servers of one version, by location.
struct endpoint_group {
  std::vector<endpoint> Local; ///< in the failure domain of this node
  std::vector<endpoint> Remote;
};

/// How the calls of one service are split between two versions.
struct version_split {
  version_name Old;
  version_name New;      ///< empty if there is no move
  unsigned NewShare = 0; ///< in units of 1 / FullShare
};

/// A consistent snapshot of everything that routing a call needs: the
/// configuration with the matching endpoints and shares. Immutable; replaced as
/// a whole.
struct fleet_view {
  snapshot_ptr Config;
  std::map<service_name, std::map<version_name, endpoint_group>> Endpoints;
  std::map<service_name, version_split> Splits;
  std::map<service_name, claim_owner> ClaimOwners;
  bool Leaving = false; ///< this node accepts no new calls
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

/// Builds the view of a node in LocalDomain. Omits endpoints of services and
/// versions that the configuration does not have. Thread safe.
fleet_view_ptr makeFleetView(const snapshot_ptr &Config,
                             const std::vector<member_record> &Members,
                             const std::map<move_id, move_progress> &Moves,
                             const failure_domain &LocalDomain, bool Leaving);

} // namespace chivebeam
