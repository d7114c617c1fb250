#pragma once

#include <optional>

#include "data/call_headers.h"
#include "data/request_body.h"

namespace chivebeam {

/// Maximum length of X-Request-Id, Chivebeam-Tenant and Chivebeam-Sticky-Key.
inline constexpr std::size_t MaxTokenBytes = 128;

/// Returns why a request must be refused; nothing if it is valid. Refuses
/// requests that two parsers could interpret differently (Content-Length with
/// Transfer-Encoding, several Host fields), upgrades, and chivebeam fields with
/// invalid values. Thread safe.
std::optional<problem> checkRequest(const http::request_header<> &Header);

/// Returns the answer to a request whose header or body could not be read;
/// nothing if the sender disconnected.
std::optional<problem> problemOf(const error_code &Code, call_result Result);

} // namespace chivebeam
