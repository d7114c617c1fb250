#pragma once

#include <unordered_map>

#include "base/random.h"
#include "routing/body_admission.h"
#include "routing/decaying_ratio.h"
#include "routing/picking_policy.h"
#include "routing/root_admission.h"

namespace chivebeam {

/// What a call needs of the backend server that runs it. A plain value.
struct call_needs {
  route_name Route;
  microseconds GoalLeft = microseconds::max(); ///< until its goal
  microseconds TimeLeft = microseconds::max(); ///< until its deadline
  std::size_t Bytes = 0;                       ///< of its body
  bool Nested = false;  ///< home nodes let it go before outside calls
  unsigned Urgency = 0; ///< 0 is the most urgent
};

/// Chooses the backend server that is expected to answer first, from the load
/// that home nodes write on their answers and this node's own open calls. In a
/// small group all are compared, in a large one a few random ones. The local
/// failure domain is left only when it would miss the call's goal, since bytes
/// between failure domains are dear; a large body leaves it only when it would
/// miss the deadline. Servers that lately failed calls or could
/// not be reached count as later; if all do, all are used. Not thread safe.
class expected_latency_picker final : public picking_policy {
public:
  expected_latency_picker(failure_domain Domain, std::uint64_t Seed)
      : Domain(std::move(Domain)), Random(Seed) {}

  const endpoint *pick(const service_name &Service, const endpoint_group &Group,
                       const std::set<node_id> &Excluded, instant Now) override;
  /// As pick, for a call with known needs. Returns null also if every home node
  /// that is left has said just now that it has no room for such a call.
  const endpoint *pickFor(const endpoint_group &Group,
                          const std::set<node_id> &Excluded,
                          const call_needs &Needs, instant Now);
  void callStarted(const endpoint &Endpoint, instant Now) override;
  void callEnded(const service_name &Service, const endpoint &Endpoint,
                 const call_observation &Observation, instant Now) override;
  void connected(const failure_domain &, microseconds) override {}
  void forgetAbsent(const fleet_view &View) override;

  /// Learns from the time that a call of the route ran there. Call before
  /// callEnded.
  void recordDuration(const route_name &Route, const endpoint &Endpoint,
                      microseconds Duration);
  /// Returns after which time a home node of the group that has refused such
  /// calls expects room; zero if none has.
  microseconds retryAfterOf(const endpoint_group &Group,
                            const call_needs &Needs, instant Now) const;
  /// Returns how long a call of the route usually takes at a server like this
  /// one; zero before any was seen.
  microseconds usualTime(const route_name &Route, const endpoint &Endpoint,
                         instant Now) const;
  /// Returns the load last heard of, if it is recent.
  const home_load *recentLoad(const endpoint &Endpoint, instant Now) const;
  /// Returns the mean of what the home nodes of a group have said of refusals,
  /// at themselves and downstream.
  overload_view overload(const endpoint_group &Group, instant Now) const;

private:
  /// A home node has refused calls that are as urgent as this, or less.
  struct refusal_record {
    unsigned Urgency = 0;
    instant Until;
  };
  struct server_state {
    worker_id Worker;
    unsigned Open = 0; ///< calls of this node that are under way
    home_load Load;
    unsigned OpenAtReport = 0;
    instant ReportedAt;
    double Slowness = 1; ///< time of a call beside the usual on its route
    decaying_ratio Failures{FailureHalfLife};
    instant AvoidUntil;         ///< its home node could not be reached
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
  /// Usual time of a call that doesn't wait.
  double usualMicros(const route_name &Route) const;
  double expectedMicros(const call_needs &Needs, const endpoint &Endpoint,
                        const server_state &Server, instant Now) const;
  double costOf(double Micros, const endpoint &Endpoint,
                const server_state &Server, instant Now) const;
  candidate findCheapest(const std::vector<endpoint> &Endpoints,
                         const std::set<node_id> &Excluded,
                         const call_needs &Needs, instant Now);
  /// False if the home node is known to refuse such a call.
  bool mayAccept(const server_state &Server, double Micros,
                 const call_needs &Needs, instant Now) const;

  static constexpr microseconds FailureHalfLife{2'000'000};

  failure_domain Domain;
  random_source Random;
  std::unordered_map<node_id, server_state> Servers;
  std::unordered_map<route_name, double> UsualMicros;
};

} // namespace chivebeam
