#pragma once

#include <unordered_map>

#include "base/random.h"
#include "routing/body_admission.h"
#include "routing/decaying_ratio.h"
#include "routing/picking_policy.h"
#include "routing/root_admission.h"

namespace chivebeam {

/// Requirements of a call on the backend server that runs it. A plain value.
struct call_needs {
  route_name Route;
  microseconds GoalLeft = microseconds::max(); ///< until its goal
  microseconds TimeLeft = microseconds::max(); ///< until its deadline
  std::size_t Bytes = 0;                       ///< of its body
  bool Nested = false;  ///< made by a running call; goes before outside calls
  unsigned Urgency = 0; ///< 0 is the most urgent
};

/// Chooses the backend server with the lowest expected latency, estimated from
/// the load that home nodes report in their answers and from the open calls of
/// this node. Compares all servers of a small group, and a few random ones of a
/// large group. Leaves the local failure domain only if it would miss the goal
/// of the call, since traffic between failure domains is expensive; with a
/// large body, only if it would miss the deadline. Servers that recently failed
/// calls or could not be reached get a higher cost; if all did, all are used.
/// Not thread safe.
class expected_latency_picker final : public picking_policy {
public:
  expected_latency_picker(failure_domain Domain, std::uint64_t Seed)
      : Domain(std::move(Domain)), Random(Seed) {}

  const endpoint *pick(const service_name &Service, const endpoint_group &Group,
                       const std::set<node_id> &Excluded, instant Now) override;
  /// Like pick, for a call with known needs. Also returns null if every
  /// remaining home node has just reported that it has no capacity for such a
  /// call.
  const endpoint *pickFor(const endpoint_group &Group,
                          const std::set<node_id> &Excluded,
                          const call_needs &Needs, instant Now);
  void callStarted(const endpoint &Endpoint, instant Now) override;
  void callEnded(const service_name &Service, const endpoint &Endpoint,
                 const call_observation &Observation, instant Now) override;
  void connected(const failure_domain &, microseconds) override {}
  void removeAbsent(const fleet_view &View) override;

  /// Updates the estimates with the run time of a call on the endpoint. Call
  /// before callEnded.
  void recordDuration(const route_name &Route, const endpoint &Endpoint,
                      microseconds Duration);
  /// Returns the shortest time until a home node of the group that refused such
  /// calls expects capacity; zero if none refused.
  microseconds retryAfterOf(const endpoint_group &Group,
                            const call_needs &Needs, instant Now) const;
  /// Returns the usual duration of a call of the route on this endpoint, longer
  /// during a cold start; zero before the first sample.
  microseconds usualTime(const route_name &Route, const endpoint &Endpoint,
                         instant Now) const;
  /// Returns the last reported load; null if there is none or it is outdated.
  const home_load *recentLoad(const endpoint &Endpoint, instant Now) const;
  /// Returns the mean of the refusal ratios that the home nodes of the group
  /// reported, for themselves and downstream, and of the used retry budget.
  overload_view overload(const endpoint_group &Group, instant Now) const;

private:
  /// A home node refuses calls of this or a lower urgency until Until.
  struct refusal_record {
    unsigned Urgency = 0;
    instant Until;
  };
  struct server_state {
    worker_id Worker;
    unsigned Open = 0; ///< open calls of this node
    home_load Load;
    unsigned OpenAtReport = 0;
    unsigned StartedSinceReport = 0; ///< calls of this node
    instant ReportedAt;
    /// Until then, Load decides whether the server may accept a call.
    instant JudgedUntil;
    /// Duration of a call relative to the usual one of its route.
    double Slowness = 1;
    decaying_ratio Failures{FailureHalfLife};
    instant AvoidUntil;         ///< after its home node could not be reached
    refusal_record SmallBodies; ///< for calls with small bodies
    refusal_record LargeBodies;
  };
  struct candidate {
    const endpoint *Endpoint = nullptr;
    double Cost = 0;
  };

  server_state &stateOf(const endpoint &Endpoint);
  static bool hasRefusedSimilar(const server_state &Server,
                                const call_needs &Needs, instant Now);
  /// Usual duration of a call that does not wait.
  double usualMicros(const route_name &Route) const;
  double expectedMicros(const call_needs &Needs, const endpoint &Endpoint,
                        const server_state &Server, instant Now) const;
  /// Returns how long a call waits for the rate limit of the server.
  static double rateWaitMicros(const server_state &Server, instant Now);
  double costOf(double Micros, const endpoint &Endpoint,
                const server_state &Server, instant Now) const;
  candidate findCheapest(const std::vector<endpoint> &Endpoints,
                         const std::set<node_id> &Excluded,
                         const call_needs &Needs, instant Now);
  /// Returns false if the home node is expected to refuse such a call.
  bool mayAccept(const server_state &Server, double Micros,
                 const call_needs &Needs, instant Now) const;

  static constexpr microseconds FailureHalfLife{2'000'000};

  failure_domain Domain;
  random_source Random;
  std::unordered_map<node_id, server_state> Servers;
  std::unordered_map<route_name, double> UsualMicros;
};

} // namespace chivebeam
