#pragma once

#include "base/token_bucket.h"
#include "routing/server_notice.h"

namespace chivebeam {

/// Limits the rate at which calls start at a backend server to the rate that it
/// names. Without a limit it allows every call. A server that takes no calls
/// still gets one now and then, since only an answer shows that it takes calls
/// again. Not thread safe.
class start_rate_limiter {
public:
  /// Sets the limit; empty: none.
  void setLimit(const std::optional<call_rate> &Limit, instant Now);
  /// Returns the time until the given number of calls may have started.
  microseconds timeUntil(std::size_t Calls, instant Now) const;
  bool allows(instant Now) const { return timeUntil(1, Now).count() == 0; }
  /// Counts a call that starts.
  void callStarted(instant Now);
  /// Returns the mean time between two calls; zero: no limit.
  microseconds interval() const;

private:
  struct limited_rate {
    double PerSecond;
    token_bucket Tokens;
  };

  std::optional<limited_rate> Rate;
};

} // namespace chivebeam
