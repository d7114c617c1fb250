#pragma once

#include <deque>

#include "base/token_bucket.h"
#include "limits/usage_client.h"
#include "mesh/mesh_metrics.h"
#include "mesh/mesh_state.h"
#include "mesh/one_shot.h"
#include "mesh/peer_hub.h"

namespace chivebeam {

/// Keeps the usage caps of workspaces: admits the calls that enter the mesh at
/// this node, and owns parts of the token buckets if this node is a watcher.
/// Runs on one io_context; not thread safe.
class usage_limiter {
public:
  /// \pre all arguments outlive the limiter.
  usage_limiter(asio::io_context &Context, const mesh_settings &Settings,
                mesh_state &State, peer_hub &Hub, mesh_metrics &Metrics);

  /// Decides about a call that has arrived; waits for the answer of an owner if
  /// this node holds no token. Returns nothing if the call is within the cap,
  /// or else the time after which the workspace may have a token again.
  awaitable<std::optional<microseconds>> admit(workspace_name Workspace);
  /// Handles the requests of another node or an owner's answer to this node.
  void handle(const usage_message &Message, const node_id &From);
  /// Applies the configuration and the nodes that are in force now.
  void viewChanged();
  /// Called several times a second.
  void tick(instant Now);

private:
  using waiter = one_shot<usage_decision>;

  void applyCaps();
  void applyNodes(instant Now);
  /// True if this node may grant tokens: it is not cut off from its domain.
  bool mayGrant() const;
  usage_message answer(const usage_message &Asks, const node_id &From);
  void send(std::vector<usage_request> Requests);
  /// Decides again about the calls of these workspaces that wait.
  void serve(const std::vector<workspace_name> &Names);
  void serveAll();
  void stopWaiting(const workspace_name &Workspace, const waiter &Waiter);
  void recordRefusal(const workspace_name &Workspace, microseconds RetryAfter);

  asio::io_context &Context;
  const mesh_settings &Settings;
  mesh_state &State;
  peer_hub &Hub;
  mesh_metrics &Metrics;
  usage_client Client;
  usage_owner Owner;
  usage_caps Caps;
  config_number CapsOf; ///< configuration that Caps is from
  instant NodesAppliedAt;
  instant OwnersPingedAt;
  std::map<workspace_name, std::deque<std::shared_ptr<waiter>>> Waiting;
  token_bucket RefusalLogBudget;
  std::uint64_t OmittedLines = 0;
};

} // namespace chivebeam
