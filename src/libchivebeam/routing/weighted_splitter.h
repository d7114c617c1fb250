#pragma once

#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "config/rule_set.h"

namespace chivebeam {

/// Divides the calls of a route between services by error diffusion: after n
/// calls each service has had its share of n, give or take one. Counts what is
/// chosen, not what is served, so that a service without room does not push
/// its calls onto another. Not thread safe.
class weighted_splitter {
public:
  /// The seed decides where in its round each route begins, so that the nodes
  /// of a mesh do not all send their first call to the same service.
  explicit weighted_splitter(std::uint64_t Seed) : Random(Seed) {}

  /// Returns the service of the route's next call.
  const service_name &choose(const route_rule &Route);
  /// Forgets routes that the configuration no longer has.
  void keepOnly(const std::vector<route_rule> &Routes);

private:
  struct split_state {
    std::vector<std::int64_t> Weights;
    std::vector<std::int64_t> Deficit; ///< calls times the sum of the weights
  };

  void start(split_state &State, const route_rule &Route);

  random_source Random;
  std::unordered_map<route_name, split_state> States;
};

} // namespace chivebeam
