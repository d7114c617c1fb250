#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivebeam {

/// Network endpoint: an IPv4 or IPv6 address in text form and a port. Value
/// type.
struct address {
  std::string Ip;
  std::uint16_t Port = 0;

  /// Returns "ip:port", or "[ip]:port" for IPv6.
  std::string text() const;
  friend auto operator<=>(const address &, const address &) = default;
};

/// Parses "ip:port" or "[ip]:port". Returns nothing if Text is malformed or
/// contains a host name.
std::optional<address> parseAddress(std::string_view Text);
/// True if a connection can be opened to the address: it has a valid IP address
/// and a port above 0. Thread safe.
bool isConnectable(const address &Address);

} // namespace chivebeam
