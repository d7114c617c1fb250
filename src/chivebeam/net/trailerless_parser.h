#pragma once

#include "net/asio_types.h"

namespace chivebeam {

/// Parses one message and passes over the trailer fields of a body in chunks:
/// nobody reads them, they arrive after the header was checked, and the HTTP
/// library throws for long ones. Not thread safe.
template <bool IsRequest, typename Body>
class trailerless_parser final : public http::parser<IsRequest, Body> {
private:
  void on_field_impl(http::field Name, beast::string_view NameText,
                     beast::string_view Value, error_code &) override {
    if (!this->is_header_done())
      this->get().insert(Name, NameText, Value);
  }
};

template <typename Body>
using trailerless_response_parser = trailerless_parser<false, Body>;

} // namespace chivebeam
