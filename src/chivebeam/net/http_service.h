#pragma once

#include <functional>
#include <list>

#include "net/http_client.h"

namespace chivebeam {

/// HTTP server for small requests: reads each request completely, up to
/// MaxBodyBytes, and sends the handler's response. Used for control requests
/// only; the data plane streams the calls of workspaces. Runs on one
/// io_context.
class http_service {
public:
  using handler = std::function<awaitable<http_response>(
      const http_request &Request, const address &Caller)>;

  static constexpr std::size_t Unlimited = ~std::size_t{0};

  /// Connections beyond MaxConnections end the oldest one that runs no request,
  /// or are closed if all run one.
  /// \pre Context outlives the service.
  http_service(asio::io_context &Context, std::size_t MaxBodyBytes,
               handler Handler, std::size_t MaxConnections = Unlimited);

  /// Binds and starts accepting connections. Returns the bound address; with
  /// port 0 the kernel chooses the port.
  result<address> listen(const address &ListenAddress);
  void close();

private:
  struct connection {
    beast::tcp_stream Stream;
    bool Running = false; ///< the handler runs a request
  };

  awaitable<void> acceptLoop();
  /// Closes the oldest connection that runs no request; returns false if there
  /// is none.
  bool makeRoom();
  awaitable<void> serve(std::shared_ptr<connection> Connection);

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  std::size_t MaxBodyBytes;
  handler Handler;
  std::size_t MaxConnections;
  std::list<std::shared_ptr<connection>> Open; ///< the oldest is first
};

/// Opens, binds and starts listening. The error names the address and a remedy.
result<address> openAcceptor(tcp::acceptor &Acceptor,
                             const address &ListenAddress);

/// Builds a response with a JSON body; application/problem+json from status
/// 400.
http_response makeResponse(http::status Status, std::string Body);

} // namespace chivebeam
