#include "routing/start_rate_limiter.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Rate at which a server that names a lower limit is asked.
constexpr double MinCallsPerSecond = 0.5;
/// Calls that the limit allows in this time may start together after a pause.
constexpr double BurstSeconds = 0.25;

} // namespace

void start_rate_limiter::setLimit(const std::optional<call_rate> &Limit,
                                  instant Now) {
  if (!Limit) {
    Rate.reset();
    return;
  }
  double PerSecond = std::max(Limit->PerSecond, MinCallsPerSecond);
  double Burst = std::max(1.0, PerSecond * BurstSeconds);
  // The server has just had a call.
  if (!Rate)
    Rate.emplace(PerSecond, token_bucket(PerSecond, Burst, 0));
  Rate->PerSecond = PerSecond;
  Rate->Tokens.setRate(PerSecond, Burst, Now);
}

microseconds start_rate_limiter::timeUntil(std::size_t Calls,
                                           instant Now) const {
  return Rate ? Rate->Tokens.timeUntil(static_cast<double>(Calls), Now)
              : microseconds(0);
}

void start_rate_limiter::callStarted(instant Now) {
  if (Rate)
    Rate->Tokens.reserve(Now);
}

microseconds start_rate_limiter::interval() const {
  return Rate ? microseconds(static_cast<std::int64_t>(1e6 / Rate->PerSecond))
              : microseconds(0);
}

} // namespace chivebeam
