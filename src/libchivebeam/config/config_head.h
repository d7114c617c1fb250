#pragma once

#include "base/units.h"

namespace chivebeam {

/// Number and digest of the newest configuration that a node holds. Value type.
struct config_head {
  config_number Number;
  config_digest Digest;

  friend bool operator==(const config_head &, const config_head &) = default;
};

} // namespace chivebeam
