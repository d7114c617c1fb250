#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/units.h"

namespace chivebeam {

/// What a connection has done since its current request began to arrive.
struct request_progress {
  std::uint64_t ReceivedBytes = 0;
  microseconds Age{0};
};

/// Number of connections that may be open.
struct connection_limit {
  /// Descriptors that the process uses for files, other nodes and the store.
  static constexpr unsigned ReservedDescriptors = 500;
  /// A process with few descriptors uses this part of them for callers.
  static constexpr unsigned MinPart = 4;

  /// Returns how many callers' connections fit the descriptors of a process.
  /// Thread safe.
  static std::size_t ofCallers(unsigned MaxDescriptors);
};

/// Decides which connections are closed when there are no descriptors left for
/// new ones. Stateless, so thread safe.
class crowd_control {
public:
  /// A request that arrives at a lower rate may be ended for a new connection.
  static constexpr std::uint64_t MinBytesPerSecond = 1 << 10;
  /// A request is not ended before this age.
  static constexpr milliseconds MinAge{500};

  /// Returns the requests to end, at most MaxCount, the one that has received
  /// the least for its age first.
  static std::vector<std::size_t>
  slowest(const std::vector<request_progress> &Requests, std::size_t MaxCount);
};

} // namespace chivebeam
