#pragma once

#include <cstdint>

#include "base/units.h"

namespace chivebeam {

/// Limits for clients that nobody controls, as operators may set them. A plain
/// value; the defaults are met by no client that behaves.
struct door_limits {
  /// Parts of the memory of the process for bodies of calls, and for answers.
  double RequestMemoryPercent = 43.75;
  double AnswerMemoryPercent = 18.75;
  /// Bodies up to this size may use all of it. Larger ones leave a part to
  /// them.
  std::uint64_t SmallBodyBytes = 64 << 10;
  /// Descriptors that the process uses for files, other nodes and the store.
  unsigned ReservedDescriptors = 500;
  /// A transfer at a lower rate may be ended for a new connection; zero: none.
  std::uint64_t MinBytesPerSecond = 1 << 10;
  /// A request is not ended before this age.
  milliseconds MinRequestAge{500};

  /// The same for an answer. A client that lost a packet takes nothing for a
  /// while, and one that reads slowly makes room in steps.
  milliseconds minAnswerAge() const { return 4 * MinRequestAge; }
  /// Returns the bytes of a part of the memory.
  static std::uint64_t part(std::uint64_t MemoryBytes, double Percent) {
    return static_cast<std::uint64_t>(static_cast<double>(MemoryBytes) *
                                      Percent / 100);
  }
};

} // namespace chivebeam
