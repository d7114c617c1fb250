#pragma once

#include <map>
#include <set>

#include "moves/service_move.h"
#include "routing/fleet_view.h"

namespace chivebeam {

using service_moves = std::map<service_name, service_move>;

/// Builds the view of a node in LocalDomain, for a mesh whose home nodes
/// announce their backend servers. All versions of a service are in one group
/// under the name of the old version, except for the version that a move
/// introduces. Once a verdict is recorded, the losing version has no endpoints.
/// Backend servers in evacuated domains have none. Thread safe.
fleet_view_ptr makeMeshView(const snapshot_ptr &Config,
                            const std::vector<home_record> &Homes,
                            const service_moves &Moves,
                            const failure_domain &LocalDomain,
                            const std::set<failure_domain> &Evacuated = {});

/// Returns the endpoints for calls of one version; null if there are none.
const endpoint_group *findGroup(const fleet_view &View,
                                const service_name &Service,
                                const version_name &Version);

} // namespace chivebeam
