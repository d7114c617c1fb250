#include "base/address.h"

#include <array>
#include <charconv>

#include <arpa/inet.h>

namespace chivebeam {

namespace {

bool isIpAddress(const std::string &Ip) {
  std::array<unsigned char, sizeof(in6_addr)> Bytes{};
  return ::inet_pton(AF_INET, Ip.c_str(), Bytes.data()) == 1 ||
         ::inet_pton(AF_INET6, Ip.c_str(), Bytes.data()) == 1;
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
  Parsed.Ip = std::string(Ip);
  if (Code != std::errc() || End != Port.data() + Port.size() ||
      !isIpAddress(Parsed.Ip))
    return std::nullopt;
  return Parsed;
}

bool isConnectable(const address &Address) {
  return Address.Port > 0 && isIpAddress(Address.Ip);
}

} // namespace chivebeam
