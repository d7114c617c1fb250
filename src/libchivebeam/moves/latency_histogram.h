#pragma once

#include <array>
#include <cstdint>

#include "base/units.h"

namespace chivebeam {

/// Histogram of latencies. The bucket bounds grow by a factor of the square
/// root of two, from 100 microseconds to about 74 seconds; the last bucket also
/// counts longer latencies. A plain value; sums of histograms are exact.
class latency_histogram {
public:
  static constexpr std::size_t BucketCount = 40;

  void record(microseconds Latency);
  void add(const latency_histogram &Other);
  /// Subtracts the counts of Earlier. \pre Earlier is an older copy of this
  /// histogram.
  void subtract(const latency_histogram &Earlier);

  std::uint64_t total() const;
  /// Returns the upper bound of the bucket that contains the quantile, or zero
  /// if the histogram is empty. \pre 0 <= Quantile <= 1.
  microseconds quantile(double Quantile) const;

  /// Returns the index of the bucket that contains the quantile, or zero if the
  /// histogram is empty.
  std::size_t bucketOf(double Quantile) const;
  /// Returns the number of latencies in buckets above Bucket.
  std::uint64_t countAbove(std::size_t Bucket) const;
  /// Returns an estimate of the mean from the upper bounds of the buckets.
  microseconds mean() const;

  std::array<std::uint64_t, BucketCount> &buckets() { return Buckets; }
  const std::array<std::uint64_t, BucketCount> &buckets() const {
    return Buckets;
  }
  /// Returns the upper bound of the bucket.
  static microseconds upperBound(std::size_t Bucket);

  friend bool operator==(const latency_histogram &,
                         const latency_histogram &) = default;

private:
  std::array<std::uint64_t, BucketCount> Buckets{};
};

} // namespace chivebeam
