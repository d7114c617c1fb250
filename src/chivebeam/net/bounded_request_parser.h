#pragma once

#include <algorithm>

#include "net/asio_types.h"

namespace chivebeam {

/// Parses one request within limits, in whatever pieces it arrives. Trailer
/// fields of a body in chunks are passed over: they arrive after the header was
/// checked and its memory was reserved. Not thread safe.
class bounded_request_parser final
    : public http::request_parser<http::string_body> {
public:
  /// Bounds the fields of the header together, and the body. \pre nothing has
  /// been parsed yet
  void limitTo(std::uint64_t MaxHeaderBytes, std::uint64_t MaxBodyBytes) {
    header_limit(static_cast<std::uint32_t>(MaxHeaderBytes));
    body_limit(MaxBodyBytes);
    FieldBytesLeft = MaxHeaderBytes;
  }

private:
  // The limit of the base class holds anew for each piece that ends with a
  // line.
  void on_field_impl(http::field Name, beast::string_view NameText,
                     beast::string_view Value, error_code &Code) override {
    if (is_header_done())
      return;
    const std::uint64_t Bytes = NameText.size() + Value.size() + FramingBytes;
    const bool IsTooLong =
        std::max(NameText.size(), Value.size()) > MaxTextBytes;
    if (Bytes > FieldBytesLeft || FieldsLeft == 0 || IsTooLong) {
      Code = http::error::header_limit;
      return;
    }
    FieldBytesLeft -= Bytes;
    --FieldsLeft;
    get().insert(Name, NameText, Value);
  }

  static constexpr std::uint64_t FramingBytes = 4; ///< ": " and end of line
  /// The HTTP library throws for a longer name or value.
  static constexpr std::size_t MaxTextBytes = 65'533;
  /// A request with more fields can't be sent to another node.
  static constexpr std::size_t MaxFields = 8'000;
  std::uint64_t FieldBytesLeft = 0;
  std::size_t FieldsLeft = MaxFields;
};

} // namespace chivebeam
