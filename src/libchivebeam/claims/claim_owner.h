#pragma once

#include <map>
#include <optional>

#include "config/snapshot.h"
#include "membership/member_record.h"

namespace chivebeam {

/// True if calls to the service may be claimed by idempotency key.
inline bool supportsClaims(const service_entry &Service) {
  return Service.Class == work_class::payment;
}

/// The node that owns a service's claim log.
struct claim_owner {
  node_id Node;
  address Peer;
};

/// Returns the owner of the service's claim log by rendezvous hashing: of the
/// service's nodes that are alive and not leaving, the one with the lowest
/// hash. All nodes with the same member list agree. Two nodes that disagree are
/// safe, since the log rejects commits of a writer that is no longer its owner.
/// Thread safe.
std::optional<claim_owner>
claimOwnerOf(const service_name &Service,
             const std::vector<member_record> &Members);

/// Returns the owners of all claim logs. Thread safe.
std::map<service_name, claim_owner>
claimOwners(const snapshot &Config, const std::vector<member_record> &Members);

/// Returns how many claim logs the configuration has. Thread safe.
std::size_t countClaimLogs(const snapshot &Config);

} // namespace chivebeam
