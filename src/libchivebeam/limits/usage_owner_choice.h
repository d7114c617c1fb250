#pragma once

#include <map>
#include <vector>

#include "membership/home_record.h"

namespace chivebeam {

/// Node that holds the part of a workspace's token bucket for a failure domain.
struct usage_part {
  failure_domain Domain;
  node_id Owner;
};

/// Chooses the owners of token buckets. Each failure domain has an equal part
/// of the bucket of each workspace. The watchers of a domain share the
/// workspaces among them by rendezvous hashing, so that a watcher that comes or
/// goes moves only its own. Not thread safe.
class usage_owner_choice {
public:
  /// Sets the known nodes. Nodes that are gone count only for the number of
  /// parts, so that the parts don't grow while a domain is cut off.
  void setNodes(const std::vector<home_record> &Records);
  /// Returns the number of parts, at least one.
  std::size_t parts() const { return Domains.empty() ? 1 : Domains.size(); }
  /// Returns the number of nodes that are not gone, at least one.
  std::size_t nodes() const { return Nodes == 0 ? 1 : Nodes; }
  /// Returns the number of nodes of the domain that are not gone.
  std::size_t nodesIn(const failure_domain &Domain) const;
  /// Returns the nodes that may own parts.
  std::vector<node_id> watchers() const;
  /// Returns the parts that have an owner, the one of the domain Own first and
  /// the others in an order that depends on the workspace.
  std::vector<usage_part> partsOf(const workspace_name &Workspace,
                                  const failure_domain &Own) const;
  /// True if the node owns the part of the domain.
  bool owns(const node_id &Node, const failure_domain &Domain,
            const workspace_name &Workspace) const;

private:
  struct domain_nodes {
    std::size_t Nodes = 0;
    std::vector<node_id> Watchers;
  };

  static const node_id *ownerIn(const domain_nodes &Domain,
                                const workspace_name &Workspace);

  std::map<failure_domain, domain_nodes> Domains;
  std::size_t Nodes = 0;
};

} // namespace chivebeam
