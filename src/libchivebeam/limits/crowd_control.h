#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/units.h"

namespace chivebeam {

/// How far a client is with its request, or with taking an answer.
struct transfer_progress {
  std::uint64_t Bytes = 0; ///< in this time
  microseconds Age{0};
  bool IsAnswer = false;
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
  /// A transfer at a lower rate may be ended for a new connection.
  static constexpr std::uint64_t MinBytesPerSecond = 1 << 10;
  /// A request is not ended before this age.
  static constexpr milliseconds MinAge{500};
  /// The same for an answer. A client that lost a packet takes nothing for a
  /// while, and one that reads slowly makes room in steps.
  static constexpr milliseconds MinAnswerAge{2'000};

  /// True if a transfer is below the rate, whatever its age.
  static bool isSlow(const transfer_progress &Transfer);
  /// Returns the transfers to end, at most MaxCount, the one that moved the
  /// least for its age first.
  static std::vector<std::size_t>
  slowest(const std::vector<transfer_progress> &Transfers,
          std::size_t MaxCount);
};

} // namespace chivebeam
