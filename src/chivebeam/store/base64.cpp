#include "store/base64.h"

#include <boost/beast/core/detail/base64.hpp>

namespace chivebeam {

namespace base64 = boost::beast::detail::base64;

std::string encodeBase64(std::string_view Bytes) {
  std::string Text(base64::encoded_size(Bytes.size()), '\0');
  Text.resize(base64::encode(Text.data(), Bytes.data(), Bytes.size()));
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  while (!Text.empty() && Text.back() == '=')
    Text.remove_suffix(1);
  std::string Bytes(base64::decoded_size(Text.size() + 4), '\0');
  auto [Written, Read] = base64::decode(Bytes.data(), Text.data(), Text.size());
  if (Read != Text.size())
    return std::nullopt;
  Bytes.resize(Written);
  return Bytes;
}

} // namespace chivebeam
