#pragma once

#include <optional>
#include <set>

#include "routing/fleet_view.h"
#include "routing/home_load.h"

namespace chivebeam {

/// How a call ended, as far as it matters for choosing backend servers.
enum class call_verdict {
  served,      ///< a complete answer below 500
  failed,      ///< a 5xx answer, no answer, or a truncated one
  refused,     ///< not run; the home node is busy or draining
  unreachable, ///< no connection to the home node
  cancelled,   ///< cancelled by the caller; no evidence about the server
};

/// Result of one call through a home node.
struct call_observation {
  call_verdict Verdict = call_verdict::served;
  microseconds Latency{0};
  /// From the answer; negative: number of waiting calls.
  std::optional<int> FreeSlots;
  /// From the answer, if it carries the full load.
  std::optional<home_load> Load;
  /// Time after which the home node expects capacity, if it refused the call
  /// for lack of capacity; zero otherwise.
  microseconds RetryAfter{0};
  unsigned Urgency = 0;
  bool LargeBody = false;
  /// True if the call was not run because it was not to wait for a slot.
  bool NoFreeSlot = false;
};

/// Chooses the backend server for each call and learns from the results of
/// calls. Not thread safe.
class picking_policy {
public:
  virtual ~picking_policy() = default;

  /// Returns null if the group has no endpoint outside Excluded.
  virtual const endpoint *pick(const service_name &Service,
                               const endpoint_group &Group,
                               const std::set<node_id> &Excluded,
                               instant Now) = 0;
  virtual void callStarted(const endpoint &Endpoint, instant Now) = 0;
  virtual void callEnded(const service_name &Service, const endpoint &Endpoint,
                         const call_observation &Observation, instant Now) = 0;
  /// Records how long a new connection to a node of the domain took.
  virtual void connected(const failure_domain &To, microseconds Duration) = 0;
  /// Removes the state of nodes that are no longer in the view.
  virtual void removeAbsent(const fleet_view &View) = 0;
};

} // namespace chivebeam
