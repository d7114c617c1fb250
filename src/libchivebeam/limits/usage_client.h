#pragma once

#include <set>

#include "limits/usage_allowance.h"
#include "limits/usage_owner.h"

namespace chivebeam {

/// Requests to send to an owner.
struct usage_request {
  node_id Owner;
  usage_message Message;
};

/// Decides at an entry node about the calls of limited workspaces, and what to
/// ask the owners of their tokens. A node has at most one request open with
/// each owner; what it needs meanwhile goes into the next one. Not thread safe.
class usage_client {
public:
  explicit usage_client(failure_domain Own) : Domain(std::move(Own)) {}

  /// Sets the caps. Workspaces without a limit are ignored.
  void setCaps(const usage_caps &Caps);
  usage_owner_choice &owners() { return Owners; }
  const usage_owner_choice &owners() const { return Owners; }
  bool isLimited(const workspace_name &Name) const {
    return Allowances.contains(Name);
  }

  /// Decides about a call that has just arrived.
  usage_decision callArrived(const workspace_name &Name, instant Now);
  /// Decides again about a call that waits, after an owner has answered or was
  /// found unreachable.
  usage_decision decide(const workspace_name &Name, instant Now);
  /// Notes how many calls of the workspace wait.
  void setWaiting(const workspace_name &Name, unsigned Calls);

  /// Returns the requests that calls wait for.
  std::vector<usage_request> urgentRequests(instant Now);
  /// Drops lapsed tokens and silent requests. Returns the workspaces of these
  /// requests. Call several times a second.
  std::vector<workspace_name> tick(instant Now);
  /// Returns the requests that are due without a call that waits. Call several
  /// times a second.
  std::vector<usage_request> dueRequests(instant Now);
  /// Applies the answer of an owner. Returns the workspaces that it is about,
  /// none if the answer came too late.
  std::vector<workspace_name> granted(const node_id &Owner,
                                      const usage_message &Answer, instant Now);
  /// Notes that a request could not be sent, since the connection with the
  /// owner is not open yet. Returns its workspaces.
  std::vector<workspace_name> notSent(const node_id &Owner, instant Now);

private:
  struct workspace_state {
    usage_allowance Allowance;
    unsigned Waiting = 0;
    std::optional<node_id> Asked; ///< queued or open request for waiting calls
  };
  struct owner_state {
    std::map<workspace_name, failure_domain> Queued;
    std::map<workspace_name, failure_domain> Open;
    std::uint64_t Number = 0; ///< of the open request; zero: none
    instant AskedAt;
    instant UnreachableUntil;
    instant NotSentSince; ///< zero: the last request was sent
  };

  usage_decision decide(const workspace_name &Name, workspace_state &State,
                        instant Now);
  /// Ends the open request; returns its workspaces.
  std::vector<workspace_name> close(const node_id &Node, owner_state &Owner);
  /// Ends the open and the queued requests; returns their workspaces.
  std::vector<workspace_name> fail(const node_id &Node, owner_state &Owner,
                                   instant UnreachableUntil);
  void queueAhead(const workspace_name &Name, workspace_state &State,
                  instant Now);
  std::vector<usage_request> takeQueued(bool OnlyUrgent, instant Now);
  bool isUrgent(const owner_state &Owner) const;

  failure_domain Domain;
  usage_owner_choice Owners;
  std::map<workspace_name, workspace_state> Allowances;
  std::map<node_id, owner_state> States;
  std::uint64_t NextNumber = 0;
};

} // namespace chivebeam
