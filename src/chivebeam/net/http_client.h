#pragma once

#include <memory>
#include <optional>

#include "base/error.h"
#include "base/units.h"
#include "net/asio_types.h"

namespace chivebeam {

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// Sends small requests, one at a time, over a persistent connection. An error
/// of kind unavailable means that nothing was sent; unknown_effect means that
/// the request may have taken effect. Not thread safe.
class http_client {
public:
  http_client(address Server, std::size_t MaxBodyBytes)
      : Server(std::move(Server)), MaxBodyBytes(MaxBodyBytes) {}

  awaitable<result<http_response>> call(http_request Request,
                                        milliseconds Timeout);
  /// Cancels a running call, which then returns an error.
  void cancel() {
    if (Stream)
      Stream->close();
  }
  const address &server() const { return Server; }

private:
  awaitable<error_code> connect(milliseconds Timeout);
  error makeError(error_kind Kind, const error_code &Code) const;

  address Server;
  std::size_t MaxBodyBytes;
  std::unique_ptr<beast::tcp_stream> Stream;
};

/// Sends one request over a new connection.
awaitable<result<http_response>> httpCall(address Server, http_request Request,
                                          milliseconds Timeout,
                                          std::size_t MaxBodyBytes);

/// Builds a request; sets the content type to JSON if Body is not empty.
http_request makeRequest(http::verb Method, std::string_view Target,
                         std::string Body);

} // namespace chivebeam
