#pragma once

#include <compare>
#include <optional>

namespace chivebeam {

/// A number of calls a second. A plain value.
struct call_rate {
  double PerSecond = 0;

  friend auto operator<=>(const call_rate &, const call_rate &) = default;
};

/// What a backend server says about itself in an answer, besides the answer. A
/// plain value.
struct server_notice {
  /// Calls that it takes from all nodes together; empty: it names no limit.
  std::optional<call_rate> RateLimit;
  /// True if it names a limit that can't be read. Such an answer neither sets
  /// nor ends a limit.
  bool IsRateLimitInvalid = false;
  bool IsLeaving = false; ///< it takes no further calls
};

} // namespace chivebeam
