#pragma once

#include <string_view>

namespace chivebeam::fuzz {

/// Decodes the answers of the backend server to one call. The input is split as
/// that of runRequest.
void runAnswer(std::string_view Bytes);

} // namespace chivebeam::fuzz
