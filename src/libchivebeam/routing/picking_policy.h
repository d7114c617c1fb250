#pragma once

#include <optional>
#include <set>

#include "routing/fleet_view.h"
#include "routing/home_load.h"

namespace chivebeam {

/// How a call ended, as a policy judges backend servers.
enum class call_verdict {
  served,      ///< a whole answer below 500 came
  failed,      ///< a 5xx answer, no answer, or one cut short
  refused,     ///< not run; the home node is busy or draining
  unreachable, ///< the home node can't be connected to
  cancelled,   ///< the caller went away; says nothing of the server
};

/// What one call through a home node has shown.
struct call_observation {
  call_verdict Verdict = call_verdict::served;
  microseconds Latency{0};
  std::optional<int> FreeSlots;  ///< in-band load; below zero: calls wait
  std::optional<home_load> Load; ///< in-band load in full, where it is told
  /// The home node refused the call for want of room, and expects some after
  /// this time; zero: it did not.
  microseconds RetryAfter{0};
  unsigned Urgency = 0;   ///< of the call
  bool LargeBody = false; ///< the call has one
};

/// Chooses the backend server for each call, and learns from how calls end.
/// Not thread safe.
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
  /// Notes how long a new connection to a node of the domain took.
  virtual void connected(const failure_domain &To, microseconds Duration) = 0;
  /// Forgets what is known of nodes that the view no longer has.
  virtual void forgetAbsent(const fleet_view &View) = 0;
};

} // namespace chivebeam
