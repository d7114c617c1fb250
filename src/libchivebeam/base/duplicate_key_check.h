#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "base/error.h"

namespace chivebeam {

/// Returns an error that names the first key used more than once in the same
/// object, or nothing. This check is needed because Boost.JSON silently keeps
/// only the last of several equal keys. Syntax errors are ignored here; the
/// parser reports them. Thread safe.
std::optional<error> findDuplicateKey(std::string_view Text,
                                      std::size_t MaxDepth);

} // namespace chivebeam
