#include "base/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace chivebeam {

namespace {

constexpr double MicrosPerSecond = 1e6;

} // namespace

token_bucket::token_bucket(double RatePerSecond, double BurstTokens)
    : token_bucket(RatePerSecond, BurstTokens, BurstTokens) {}

token_bucket::token_bucket(double RatePerSecond, double BurstTokens,
                           double InitialTokens)
    : PerSecond(RatePerSecond), Burst(BurstTokens), Tokens(InitialTokens) {}

void token_bucket::refill(instant Now) {
  if (RefilledAt != instant() && Now > RefilledAt) {
    double Elapsed = static_cast<double>((Now - RefilledAt).count());
    Tokens = std::min(Burst, Tokens + Elapsed * PerSecond / MicrosPerSecond);
  }
  RefilledAt = std::max(RefilledAt, Now);
}

void token_bucket::setRate(double NewPerSecond, instant Now) {
  refill(Now);
  PerSecond = NewPerSecond;
}

void token_bucket::setRate(double NewPerSecond, double NewBurst, instant Now) {
  setRate(NewPerSecond, Now);
  Burst = NewBurst;
  Tokens = std::min(Tokens, Burst);
}

bool token_bucket::take(instant Now) {
  refill(Now);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

microseconds token_bucket::reserve(instant Now) {
  refill(Now);
  Tokens -= 1;
  if (Tokens >= 0)
    return microseconds(0);
  return microseconds(static_cast<std::int64_t>(
      std::ceil(-Tokens / PerSecond * MicrosPerSecond)));
}

microseconds token_bucket::timeUntil(double Count, instant Now) const {
  token_bucket Present = *this;
  Present.refill(Now);
  double Missing = Count - Present.Tokens;
  return Missing <= 0 ? microseconds(0)
                      : microseconds(static_cast<std::int64_t>(
                            std::ceil(Missing / PerSecond * MicrosPerSecond)));
}

} // namespace chivebeam
