#include "routing/windowed_retry_budget.h"

namespace chivebeam {

windowed_retry_budget::bucket &
windowed_retry_budget::currentBucket(const service_name &Service, instant Now) {
  history &History = Services[Service];
  constexpr auto Count = static_cast<std::int64_t>(BucketCount);
  std::int64_t Number =
      Now.time_since_epoch().count() / (Limits.Window.count() / Count);
  std::int64_t First = std::max(History.Newest + 1, Number - Count + 1);
  for (std::int64_t Stale = First; Stale <= Number; ++Stale)
    History.Ring[static_cast<std::size_t>(Stale % Count)] = bucket();
  History.Newest = std::max(History.Newest, Number);
  return History.Ring[static_cast<std::size_t>(History.Newest % Count)];
}

void windowed_retry_budget::callStarted(const service_name &Service,
                                        instant Now) {
  currentBucket(Service, Now).Calls += 1;
}

void windowed_retry_budget::recordRetry(const service_name &Service,
                                        instant Now) {
  currentBucket(Service, Now).Retries += 1;
}

std::pair<double, double>
windowed_retry_budget::usedAndAllowed(const service_name &Service,
                                      instant Now) {
  currentBucket(Service, Now); // drops outdated buckets
  bucket Sum;
  for (const bucket &Bucket : Services[Service].Ring) {
    Sum.Calls += Bucket.Calls;
    Sum.Retries += Bucket.Retries;
  }
  return {Sum.Retries, Limits.Ratio * Sum.Calls + Limits.Slack / Limits.Nodes};
}

double windowed_retry_budget::usedFraction(const service_name &Service,
                                           instant Now) {
  auto [Used, Allowed] = usedAndAllowed(Service, Now);
  return Allowed > 0 ? Used / Allowed : 1;
}

bool windowed_retry_budget::hasRetryLeft(const service_name &Service,
                                         instant Now) {
  auto [Used, Allowed] = usedAndAllowed(Service, Now);
  return Used + 1 <= Allowed * UsableFraction;
}

bool windowed_retry_budget::takeRetry(const service_name &Service,
                                      instant Now) {
  if (!hasRetryLeft(Service, Now))
    return false;
  recordRetry(Service, Now);
  return true;
}

} // namespace chivebeam
