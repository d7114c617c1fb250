#pragma once

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>

#include "base/names.h"
#include "base/units.h"

namespace chivebeam {

/// What the fleet as a whole may do, and how many nodes share it.
struct retry_budget_limits {
  double Ratio = 0.2; ///< repeats as a part of the calls
  double Slack = 0;   ///< repeats allowed on top, all nodes together
  microseconds Window{10'000'000};
  unsigned Nodes = 1; ///< that share the slack
};

/// Bounds how often calls reach a second backend server. Counts calls and
/// repeats of each service over a sliding window; each node keeps to its part
/// of the limits, so no word between nodes is needed. Not thread safe.
class windowed_retry_budget {
public:
  explicit windowed_retry_budget(retry_budget_limits Limits) : Limits(Limits) {}

  void setNodes(unsigned Nodes) { Limits.Nodes = std::max(Nodes, 1U); }
  /// Notes a call of the service.
  void callStarted(const service_name &Service, instant Now);
  /// Returns whether a call may be sent to one more backend server, and if so
  /// counts it.
  bool takeRetry(const service_name &Service, instant Now);
  /// Returns the used part of what is allowed, which unavoidable repeats may
  /// bring above 1.
  double usedFraction(const service_name &Service, instant Now);
  /// Counts a repeat that could not be avoided.
  void recordRetry(const service_name &Service, instant Now);

private:
  /// The window is divided into so many parts; the oldest is dropped whole.
  static constexpr std::size_t BucketCount = 20;
  /// Part of the limits that is used, since a window of the users may begin at
  /// any moment and calls of a repeated call count as repeats, too.
  static constexpr double UsableFraction = 0.7;

  struct bucket {
    double Calls = 0;
    double Retries = 0;
  };
  struct history {
    std::array<bucket, BucketCount> Ring;
    std::int64_t Newest = 0; ///< number of the newest part since the epoch
  };

  /// Returns the repeats and what is allowed of them.
  std::pair<double, double> usedAndAllowed(const service_name &Service,
                                           instant Now);
  bucket &currentBucket(const service_name &Service, instant Now);

  retry_budget_limits Limits;
  std::unordered_map<service_name, history> Services;
};

} // namespace chivebeam
