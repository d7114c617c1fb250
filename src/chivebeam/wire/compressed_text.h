#pragma once

#include <string>
#include <string_view>

#include "base/error.h"

namespace chivebeam {

/// Compresses a text that is sent between nodes. Configurations repeat the same
/// words for each route, and links are slow. Thread safe.
std::string compressText(std::string_view Text);
/// Decompresses the result of compressText. Returns an error if it is damaged
/// or its text is larger than MaxBytes. Thread safe.
result<std::string> decompressText(std::string_view Compressed,
                                   std::size_t MaxBytes);

} // namespace chivebeam
