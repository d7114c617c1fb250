#pragma once

#include <cstdint>

#include "base/units.h"

namespace chivebeam {

/// What a caller may send on one connection, and how long it may take. A plain
/// value.
struct caller_limits {
  std::uint64_t MaxHeaderBytes = 16 << 10;
  std::uint64_t MaxBodyBytes = 64 << 20;
  milliseconds HeaderTimeout{3'000}; ///< from a header's first byte to its end
  milliseconds IdleTimeout{15'000};  ///< between two requests

  friend bool operator==(const caller_limits &,
                         const caller_limits &) = default;
};

} // namespace chivebeam
