#pragma once

#include <string_view>

namespace chivebeam::fuzz {

/// Decodes the frames of another node on one connection. The input is split as
/// that of runRequest.
void runPeer(std::string_view Bytes);

} // namespace chivebeam::fuzz
