#pragma once

#include <optional>
#include <string_view>

#include "base/units.h"

namespace chivebeam {

/// Returns the creation time of a key that is a version 7 UUID (RFC 9562),
/// whose first 48 bits are Unix milliseconds; nothing for other keys. Thread
/// safe.
std::optional<instant> issueTimeOf(std::string_view Key);

/// True if a key was created so long ago that its claim may have been removed
/// already. Keys without a creation time are never too old. Thread safe.
bool isTooOld(std::string_view Key, instant Now, microseconds Retention);

} // namespace chivebeam
