#pragma once

#include <unordered_map>

#include "base/random.h"
#include "routing/picking_policy.h"
#include "routing/recent_share.h"

namespace chivebeam {

/// Chooses the backend server that is expected to answer first, from the load
/// that home nodes write on their answers and this node's own open calls. In a
/// small group all are compared, in a large one a few random ones. The local
/// failure domain is left only for a clearly earlier answer, since bytes
/// between failure domains are dear. Servers that lately failed calls or could
/// not be reached count as later; if all do, all are used. Not thread safe.
class expected_end_picker final : public picking_policy {
public:
  expected_end_picker(failure_domain Domain, std::uint64_t Seed)
      : Domain(std::move(Domain)), Random(Seed) {}

  const endpoint *pick(const service_name &Service, const endpoint_group &Group,
                       const std::set<node_id> &Excluded, instant Now) override;
  void callStarted(const endpoint &Endpoint, instant Now) override;
  void callEnded(const service_name &Service, const endpoint &Endpoint,
                 const call_observation &Seen, instant Now) override;
  void connected(const failure_domain &, microseconds) override {}
  void forgetAbsent(const fleet_view &View) override;

  /// Returns how long a call that is sent now is expected to take.
  microseconds expectedTime(const service_name &Service,
                            const endpoint &Endpoint, instant Now);
  /// Returns the load last heard of, if it is recent.
  const home_load *recentLoad(const endpoint &Endpoint, instant Now) const;

private:
  struct server {
    worker_id Worker;
    unsigned Open = 0; ///< calls of this node that are under way
    home_load Load;
    unsigned OpenAtReport = 0;
    instant ReportedAt;
    recent_share Failures{FailureHalfLife};
    instant AvoidUntil; ///< its home node could not be reached
  };
  struct candidate {
    const endpoint *Endpoint = nullptr;
    double Cost = 0;
  };

  server &serverOf(const endpoint &Endpoint);
  double timeOf(const service_name &Service, const endpoint &Endpoint,
                const server &Server, instant Now) const;
  double costOf(const service_name &Service, const endpoint &Endpoint,
                instant Now);
  void consider(const service_name &Service,
                const std::vector<endpoint> &Endpoints,
                const std::set<node_id> &Excluded, instant Now,
                candidate &Best);

  static constexpr microseconds FailureHalfLife{2'000'000};

  failure_domain Domain;
  random_source Random;
  std::unordered_map<node_id, server> Servers;
  std::unordered_map<service_name, double> TypicalMicros;
};

} // namespace chivebeam
