#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace chivebeam {

/// Counts the calls that were sent to a backend server over a sliding window.
/// Bounded memory. Not thread safe.
class sent_calls {
public:
  static constexpr seconds Window{4};

  struct counts {
    unsigned All = 0;
    unsigned Retries = 0; ///< sent to another backend server before
  };

  void add(bool IsRetry, instant Now);
  /// Returns the calls that were sent in the window that ends at Now.
  counts inWindow(instant Now) const;
  /// Returns the number of calls since the start.
  std::uint64_t total() const { return Total; }

private:
  static constexpr milliseconds BucketTime{100};
  static constexpr std::size_t BucketCount = Window / BucketTime;

  struct bucket {
    std::int64_t Number = 0; ///< since the epoch
    counts Counts;
  };
  static std::int64_t bucketNumber(instant Now) {
    return Now.time_since_epoch() / BucketTime;
  }

  std::array<bucket, BucketCount> Ring;
  std::uint64_t Total = 0;
};

} // namespace chivebeam
