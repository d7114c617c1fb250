#pragma once

#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "base/error.h"

namespace chivebeam {

/// Largest message accepted from another node.
inline constexpr int MaxMessageBytes = 1 << 20;
/// Largest string in bytes and largest collection inside a message.
inline constexpr int MaxMessageStringBytes = 64 << 10;
inline constexpr int MaxMessageElements = 8'192;

/// Encodes a Thrift struct in the compact protocol. Thread safe.
template <typename Struct> std::string encodeThrift(const Struct &Value) {
  using namespace apache::thrift;
  auto Buffer = std::make_shared<transport::TMemoryBuffer>();
  protocol::TCompactProtocol Protocol(Buffer);
  Value.write(&Protocol);
  return Buffer->getBufferAsString();
}

/// Decodes the bytes of encodeThrift. Sizes are bounded. Malformed bytes give
/// an error, never an exception. Thread safe.
template <typename Struct> result<Struct> decodeThrift(std::string_view Bytes) {
  using namespace apache::thrift;
  try {
    auto Buffer = std::make_shared<transport::TMemoryBuffer>(
        reinterpret_cast<std::uint8_t *>(const_cast<char *>(Bytes.data())),
        static_cast<std::uint32_t>(Bytes.size()));
    protocol::TCompactProtocolT<transport::TMemoryBuffer> Protocol(
        Buffer, MaxMessageStringBytes, MaxMessageElements);
    Struct Value;
    Value.read(&Protocol);
    return Value;
  } catch (const std::exception &Problem) {
    return tl::unexpected(
        error{error_kind::invalid_input, "",
              std::string("cannot decode the message: ") + Problem.what(),
              "check that the sender is a chivebeam node of the same version"});
  }
}

} // namespace chivebeam
