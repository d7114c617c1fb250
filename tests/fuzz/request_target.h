#pragma once

#include <string_view>

namespace chivebeam::fuzz {

/// Decodes the requests of a caller on one connection. The first byte of the
/// input states the size of the pieces in which the others arrive; see
/// piece_reader.
void runRequest(std::string_view Bytes);

} // namespace chivebeam::fuzz
