#pragma once

#include <cstdint>

#include "base/units.h"

namespace chivebeam {

/// Size and time limits for requests on a caller's connection. Value type.
struct caller_limits {
  std::uint64_t MaxHeaderBytes = 16 << 10;
  std::uint64_t MaxBodyBytes = 64 << 20;
  milliseconds HeaderTimeout{3'000}; ///< first byte of a header to its end
  milliseconds IdleTimeout{15'000};  ///< between two requests

  friend bool operator==(const caller_limits &,
                         const caller_limits &) = default;
};

} // namespace chivebeam
