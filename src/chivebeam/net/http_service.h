#pragma once

#include <functional>

#include "net/http_client.h"

namespace chivebeam {

/// Serves small requests: reads each whole, within limits, and answers with
/// what the handler returns. Used for control; calls of tenants are streamed
/// by the data plane instead. Runs on one io_context.
class http_service {
public:
  using handler = std::function<awaitable<http_response>(
      const http_request &Request, const address &Caller)>;

  /// \pre Context outlives the service.
  http_service(asio::io_context &Context, std::size_t MaxBodyBytes,
               handler Handler);

  /// Binds and starts accepting. Returns the bound address; port 0 asks the
  /// kernel for one.
  result<address> listen(const address &ListenAddress);
  void close();

private:
  awaitable<void> acceptLoop();
  awaitable<void> serve(tcp::socket Socket);

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  std::size_t MaxBodyBytes;
  handler Handler;
};

/// Opens, binds and listens; the error names the address and what to do.
result<address> openAcceptor(tcp::acceptor &Acceptor,
                             const address &ListenAddress);

/// Builds an answer with a JSON body.
http_response makeResponse(http::status Status, std::string Body);

} // namespace chivebeam
