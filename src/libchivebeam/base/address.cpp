#include "base/address.h"

#include <charconv>

namespace chivebeam {

namespace {

/// True if Ip consists only of characters that IP addresses use; the address
/// itself is not validated.
bool isIpText(std::string_view Ip) {
  return !Ip.empty() && Ip.find_first_not_of("0123456789abcdefABCDEF.:") ==
                            std::string_view::npos;
}

} // namespace

std::string address::text() const {
  bool IsV6 = Ip.find(':') != std::string::npos;
  return (IsV6 ? "[" + Ip + "]" : Ip) + ":" + std::to_string(Port);
}

std::optional<address> parseAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Ip = Text.substr(0, Colon);
  std::string_view Port = Text.substr(Colon + 1);
  if (Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']')
    Ip = Ip.substr(1, Ip.size() - 2);
  address Parsed;
  auto [End, Code] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Parsed.Port);
  if (Code != std::errc() || End != Port.data() + Port.size() || !isIpText(Ip))
    return std::nullopt;
  Parsed.Ip = std::string(Ip);
  return Parsed;
}

} // namespace chivebeam
