#pragma once

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>

#include "base/names.h"
#include "base/units.h"

namespace chivebeam {

/// Limits for the whole fleet, and the number of nodes that share them.
struct retry_budget_limits {
  double Ratio = 0.2; ///< retries as a fraction of the calls
  double Slack = 0;   ///< additional retries, for all nodes together
  microseconds Window{10'000'000};
  unsigned Nodes = 1; ///< that share Slack
};

/// Limits how many calls reach a second backend server. Counts the calls and
/// retries of each service over a sliding window. Each node keeps to its part
/// of the limits, so the nodes need no messages about it. Not thread safe.
class windowed_retry_budget {
public:
  explicit windowed_retry_budget(retry_budget_limits Limits) : Limits(Limits) {}

  void setNodes(unsigned Nodes) { Limits.Nodes = std::max(Nodes, 1U); }
  /// Counts a call of the service.
  void callStarted(const service_name &Service, instant Now);
  /// Returns whether takeRetry would allow a retry now.
  bool hasRetryLeft(const service_name &Service, instant Now);
  /// Returns whether a call may be sent to one more backend server, and if so,
  /// counts the retry.
  bool takeRetry(const service_name &Service, instant Now);
  /// Returns the used fraction of the allowed retries, or 1 if none are
  /// allowed; retries that cannot be avoided may raise it above 1.
  double usedFraction(const service_name &Service, instant Now);
  /// Counts a retry that cannot be avoided.
  void recordRetry(const service_name &Service, instant Now);

private:
  /// Number of buckets in the window; the oldest is dropped as a whole.
  static constexpr std::size_t BucketCount = 20;
  /// Fraction of the limits that is used: the limits apply to a window that
  /// starts at any moment, and the nested calls of a retried call count as
  /// retries, too.
  static constexpr double UsableFraction = 0.7;

  struct bucket {
    double Calls = 0;
    double Retries = 0;
  };
  struct history {
    std::array<bucket, BucketCount> Ring;
    std::int64_t Newest = 0; ///< index of the newest bucket since the epoch
  };

  /// Returns the retries in the window and the allowed number.
  std::pair<double, double> usedAndAllowed(const service_name &Service,
                                           instant Now);
  bucket &currentBucket(const service_name &Service, instant Now);

  retry_budget_limits Limits;
  std::unordered_map<service_name, history> Services;
};

} // namespace chivebeam
