#pragma once

#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "config/rule_set.h"

namespace chivebeam {

/// Splits the calls of a route between services by error diffusion: after n
/// calls, each service has received its share of n, plus or minus one. Counts
/// the chosen services, not the served calls, so that a service without
/// capacity does not divert its calls to another. Not thread safe.
class weighted_splitter {
public:
  /// The seed sets where in the sequence each route starts, so that the nodes
  /// of a mesh do not all send their first call to the same service.
  explicit weighted_splitter(std::uint64_t Seed) : Random(Seed) {}

  /// Returns the service for the next call of the route.
  const service_name &choose(const route_rule &Route);
  /// Removes the state of routes that are no longer configured.
  void keepOnly(const std::vector<route_rule> &Routes);

private:
  struct split_state {
    std::vector<std::int64_t> Weights;
    std::vector<std::int64_t> Deficit; ///< calls due, times the sum of Weights
  };

  void start(split_state &State, const route_rule &Route);

  random_source Random;
  std::unordered_map<route_name, split_state> States;
};

} // namespace chivebeam
