#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "limits/door_limits.h"

namespace chivebeam {

/// How far a client is with its request, or with taking an answer.
struct transfer_progress {
  std::uint64_t Bytes = 0; ///< in this time
  microseconds Age{0};
  bool IsAnswer = false;
};

/// Number of connections that may be open.
struct connection_limit {
  /// A process with few descriptors uses this part of them for callers.
  static constexpr unsigned MinPart = 4;

  /// Returns how many callers' connections fit the descriptors of a process.
  /// Thread safe.
  static std::size_t ofCallers(unsigned MaxDescriptors,
                               const door_limits &Limits);
};

/// Decides which connections are closed when there are no descriptors left for
/// new ones. Stateless, so thread safe.
class crowd_control {
public:
  /// True if a transfer is below the least rate, whatever its age.
  static bool isSlow(const transfer_progress &Transfer,
                     const door_limits &Limits);
  /// Returns the transfers to end, at most MaxCount, the one that moved the
  /// least for its age first.
  static std::vector<std::size_t>
  slowest(const std::vector<transfer_progress> &Transfers, std::size_t MaxCount,
          const door_limits &Limits);
};

} // namespace chivebeam
