#pragma once

#include <map>

#include "routing/picking_policy.h"

namespace chivebeam {

/// Chooses the backend servers of a group round robin and ignores the results
/// of calls. Serves as the baseline that worker_picker is compared with. Not
/// thread safe.
class round_robin_picker final : public picking_policy {
public:
  const endpoint *pick(const service_name &Service, const endpoint_group &Group,
                       const std::set<node_id> &Excluded, instant Now) override;
  void callStarted(const endpoint &, instant) override {}
  void callEnded(const service_name &, const endpoint &,
                 const call_observation &, instant) override {}
  void connected(const failure_domain &, microseconds) override {}
  void removeAbsent(const fleet_view &) override {}

private:
  std::map<service_name, std::size_t> Next;
};

} // namespace chivebeam
