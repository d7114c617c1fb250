#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace chivebeam {

std::string encodeBase64(std::string_view Bytes);
/// Returns nothing if the text is not base64.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace chivebeam
