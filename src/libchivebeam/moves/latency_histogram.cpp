#include "moves/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chivebeam {

namespace {

constexpr double FirstBoundMicros = 100.0;

std::array<std::int64_t, latency_histogram::BucketCount> makeBounds() {
  std::array<std::int64_t, latency_histogram::BucketCount> Bounds{};
  for (std::size_t Index = 0; Index < Bounds.size(); ++Index)
    Bounds[Index] = std::llround(FirstBoundMicros *
                                 std::pow(2.0, static_cast<double>(Index) / 2));
  return Bounds;
}

const auto Bounds = makeBounds();

} // namespace

microseconds latency_histogram::upperBound(std::size_t Bucket) {
  return microseconds(Bounds[std::min(Bucket, BucketCount - 1)]);
}

void latency_histogram::record(microseconds Latency) {
  auto Bucket =
      std::lower_bound(Bounds.begin(), Bounds.end() - 1, Latency.count()) -
      Bounds.begin();
  ++Buckets[static_cast<std::size_t>(Bucket)];
}

void latency_histogram::add(const latency_histogram &Other) {
  for (std::size_t Index = 0; Index < BucketCount; ++Index)
    Buckets[Index] += Other.Buckets[Index];
}

void latency_histogram::subtract(const latency_histogram &Earlier) {
  for (std::size_t Index = 0; Index < BucketCount; ++Index)
    Buckets[Index] -= std::min(Buckets[Index], Earlier.Buckets[Index]);
}

std::uint64_t latency_histogram::total() const {
  return std::accumulate(Buckets.begin(), Buckets.end(), std::uint64_t{0});
}

std::size_t latency_histogram::bucketOf(double Quantile) const {
  double Wanted = Quantile * static_cast<double>(total());
  double Cumulative = 0;
  for (std::size_t Index = 0; Index < BucketCount; ++Index) {
    Cumulative += static_cast<double>(Buckets[Index]);
    if (Buckets[Index] > 0 && Cumulative >= Wanted)
      return Index;
  }
  return 0;
}

microseconds latency_histogram::quantile(double Quantile) const {
  if (total() == 0)
    return microseconds(0);
  return upperBound(bucketOf(Quantile));
}

std::uint64_t latency_histogram::countAbove(std::size_t Bucket) const {
  std::size_t First = std::min(Bucket + 1, BucketCount);
  return std::accumulate(Buckets.begin() + static_cast<std::ptrdiff_t>(First),
                         Buckets.end(), std::uint64_t{0});
}

microseconds latency_histogram::mean() const {
  std::uint64_t Total = total();
  if (Total == 0)
    return microseconds(0);
  double Sum = 0;
  for (std::size_t Index = 0; Index < BucketCount; ++Index)
    Sum += static_cast<double>(Buckets[Index]) *
           static_cast<double>(upperBound(Index).count());
  return microseconds(std::llround(Sum / static_cast<double>(Total)));
}

} // namespace chivebeam
