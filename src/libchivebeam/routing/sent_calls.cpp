#include "routing/sent_calls.h"

namespace chivebeam {

void sent_calls::add(bool IsRetry, instant Now) {
  std::int64_t Number = bucketNumber(Now);
  bucket &Bucket = Ring[static_cast<std::size_t>(Number) % BucketCount];
  if (Bucket.Number != Number)
    Bucket = {Number, {}};
  ++Bucket.Counts.All;
  Bucket.Counts.Retries += IsRetry ? 1 : 0;
  ++Total;
}

sent_calls::counts sent_calls::inWindow(instant Now) const {
  std::int64_t Newest = bucketNumber(Now);
  counts Sum;
  for (const bucket &Bucket : Ring) {
    if (Bucket.Number <= Newest - static_cast<std::int64_t>(BucketCount))
      continue;
    Sum.All += Bucket.Counts.All;
    Sum.Retries += Bucket.Counts.Retries;
  }
  return Sum;
}

} // namespace chivebeam
