#pragma once

#include <map>

#include "config/workspace.h"
#include "routing/decaying_rate.h"

namespace chivebeam {

/// Tells which calls of a workspace are in excess of its share of the calls
/// that arrive at one backend server. The shares are in proportion to the rates
/// of the usage caps. Only the calls within the shares are counted, so that a
/// workspace that sends many calls raises no bound by them. Memory is bounded
/// by the configuration. Not thread safe.
class fair_shares {
public:
  /// Sets the workspaces that share the server. Keeps the counts of those that
  /// stay.
  void setWorkspaces(const std::map<workspace_name, workspace> &All);
  /// Counts a call; returns whether it is within its workspace's share. A call
  /// of a workspace without a usage cap always is.
  bool countCall(const workspace_name &Workspace, instant Now);
  /// Returns the rank of the calls in excess: the lowest of the priority of the
  /// workspace, also for calls that would have been promoted.
  unsigned rankBeyondShare(const workspace_name &Workspace) const;

private:
  static constexpr microseconds HalfLife{2'000'000};

  struct capped_workspace {
    double Share = 0; ///< fraction of all calls
    unsigned Priority = 0;
    decaying_rate Rate{HalfLife}; ///< of calls within the share
  };
  std::map<workspace_name, capped_workspace> Capped;
  decaying_rate Total{HalfLife};
};

} // namespace chivebeam
