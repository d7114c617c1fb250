#pragma once

#include <map>

#include "moves/service_move.h"
#include "routing/fleet_view.h"

namespace chivebeam {

using service_moves = std::map<service_name, service_move>;

/// Builds the view that a node in failure domain Here has of a mesh whose home
/// nodes announce their backend servers. All versions of a service stand in one
/// group under the old version's name, but for the one that a move brings in;
/// after its verdict, the version that lost has no endpoints. Thread safe.
fleet_view_ptr makeMeshView(const snapshot_ptr &Config,
                            const std::vector<home_record> &Homes,
                            const service_moves &Moves,
                            const failure_domain &LocalDomain);

/// Returns the endpoints that calls of one version go to; null if none.
const endpoint_group *findGroup(const fleet_view &View,
                                const service_name &Service,
                                const version_name &Version);

} // namespace chivebeam
