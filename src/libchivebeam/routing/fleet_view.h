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
  address Relay; ///< of the home node
  failure_domain Domain;
  region_name Region;
  version_name Version;
  unsigned Slots = 0;
  instant ReadySince;
  worker_id Worker; ///< empty where backend servers have no names
};

/// The backend servers of one version, divided by where they are.
struct endpoint_group {
  std::vector<endpoint> Local; ///< in the failure domain of this node
  std::vector<endpoint> Remote;
};

/// How the calls of one service are divided between two versions.
struct version_split {
  version_name Old;
  version_name New;      ///< empty when no move is under way
  unsigned NewShare = 0; ///< parts of FullShare
};

/// Everything a call needs to be routed, seen at one moment: the configuration
/// with endpoints and shares that fit it. Immutable and swapped whole.
struct fleet_view {
  snapshot_ptr Config;
  std::map<service_name, std::map<version_name, endpoint_group>> Endpoints;
  std::map<service_name, version_split> Splits;
  std::map<service_name, claim_owner> ClaimOwners;
  bool Leaving = false; ///< this node takes no new calls
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

/// Builds the view that a node in failure domain Here has. Endpoints of
/// services or versions that the configuration lacks are left out. Thread safe.
fleet_view_ptr makeFleetView(const snapshot_ptr &Config,
                             const std::vector<member_record> &Members,
                             const std::map<move_id, move_progress> &Moves,
                             const failure_domain &LocalDomain, bool Leaving);

} // namespace chivebeam
