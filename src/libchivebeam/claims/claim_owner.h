#pragma once

#include <map>
#include <optional>

#include "config/snapshot.h"
#include "membership/member_record.h"

namespace chivebeam {

/// Returns whether calls to the service may be claimed by key.
inline bool supportsClaims(const service_entry &Service) {
  return Service.Class == work_class::payment;
}

/// The node that owns a service's claim log.
struct claim_owner {
  node_id Node;
  address Peer;
};

/// Returns the owner: the first live node of the service in an order that all
/// nodes compute alike. Two nodes that differ over it do no harm, since the
/// log itself keeps out a writer that lost its place. Thread safe.
std::optional<claim_owner>
claimOwnerOf(const service_name &Service,
             const std::vector<member_record> &Members);

/// Returns the owners of all claim logs. Thread safe.
std::map<service_name, claim_owner>
claimOwners(const snapshot &Config, const std::vector<member_record> &Members);

/// Returns how many claim logs the configuration has. Thread safe.
std::size_t countClaimLogs(const snapshot &Config);

} // namespace chivebeam
