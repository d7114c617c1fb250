#pragma once

#include <unordered_map>

#include "base/random.h"
#include "routing/picking_policy.h"
#include "routing/worker_health.h"

namespace chivebeam {

/// Chooses the backend server for a call: of two random candidates in the local
/// failure domain and two elsewhere, the one with the lowest cost. The cost is
/// the load (as home nodes report it in their answers, and the open calls of
/// this node), raised for a server that is slower than the others of its
/// service or has just started, and for leaving the failure domain by the
/// measured connect time. Servers whose calls fail are taken out of use, but
/// never most of a group; health endpoints are not used. Not thread safe.
class worker_picker final : public picking_policy {
public:
  worker_picker(failure_domain Domain, std::uint64_t Seed)
      : Domain(std::move(Domain)), Random(Seed) {}

  const endpoint *pick(const service_name &Service, const endpoint_group &Group,
                       const std::set<node_id> &Excluded, instant Now) override;
  void callStarted(const endpoint &Endpoint, instant Now) override;
  void callEnded(const service_name &Service, const endpoint &Endpoint,
                 const call_observation &Observation, instant Now) override;
  void connected(const failure_domain &To, microseconds Duration) override;
  void removeAbsent(const fleet_view &View) override;
  /// Returns the number of nodes with recorded state.
  std::size_t knownNodes() const { return States.size(); }

private:
  struct server_state {
    unsigned Open = 0;
    unsigned OpenAtReport = 0;
    int FreeSlots = 0; ///< at the last report
    instant ReportedAt;
    double Latency = 0; ///< moving average, in microseconds; zero: unknown
    instant LatencyAt;
    instant ReadySince;
    instant FirstSeen;
    worker_health Health;
  };
  struct candidate {
    const endpoint *Endpoint = nullptr;
    double Cost = 0;
  };

  void recordVerdict(worker_health &Health, call_verdict Verdict, instant Now);
  server_state &stateOf(const endpoint &Endpoint, instant Now);
  double costOf(const endpoint &Endpoint, const server_state &State,
                double TypicalMicros, instant Now) const;
  double distanceCost(const failure_domain &To, double TypicalMicros) const;
  bool ejectionAllowed(const endpoint_group &Group, instant Now);
  void considerCandidates(const std::vector<endpoint> &Endpoints,
                          double TypicalMicros,
                          const std::set<node_id> &Excluded, bool SkipEjected,
                          instant Now, candidate &Best);

  failure_domain Domain;
  random_source Random;
  std::unordered_map<node_id, server_state> States;
  std::size_t OutOfUse = 0; ///< number of States whose server is out of use
  std::unordered_map<service_name, double> TypicalLatency;
  std::unordered_map<failure_domain, double> ConnectTimes;
};

} // namespace chivebeam
