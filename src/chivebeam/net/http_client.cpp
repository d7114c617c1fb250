#include "net/http_client.h"

#include "net/http_reads.h"
#include "net/trailerless_parser.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace chivebeam {

namespace {

/// A connection that carries nothing is probed after this time, since it may
/// stop delivering without a reset while a long request waits for its answer.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

void configure(tcp::socket &Socket) {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  auto Set = [&](int Option, int Value) {
    ::setsockopt(Socket.native_handle(), IPPROTO_TCP, Option, &Value,
                 sizeof Value);
  };
  Set(TCP_KEEPIDLE, KeepAliveIdleSeconds);
  Set(TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  Set(TCP_KEEPCNT, KeepAliveProbes);
}

} // namespace

error http_client::makeError(error_kind Kind, const error_code &Code) const {
  return {Kind, Server.text(), Code.message(),
          "check that the address is correct and the server is running"};
}

awaitable<error_code> http_client::connect(milliseconds Timeout) {
  Stream =
      std::make_unique<beast::tcp_stream>(co_await asio::this_coro::executor);
  Stream->expires_after(Timeout);
  error_code Code;
  co_await Stream->async_connect(toTcp(Server), orError(Code));
  if (!Code)
    configure(Stream->socket());
  co_return Code;
}

awaitable<result<http_response>> http_client::call(http_request Request,
                                                   milliseconds Timeout) {
  if (!Stream)
    if (error_code Code = co_await connect(Timeout)) {
      Stream.reset();
      co_return tl::unexpected(makeError(error_kind::unavailable, Code));
    }
  Request.set(http::field::host, Server.text());
  Request.prepare_payload();
  Stream->expires_after(Timeout);
  error_code Code;
  co_await http::async_write(*Stream, Request, orError(Code));
  beast::flat_buffer Buffer(MaxUnparsedAnswerBytes);
  trailerless_response_parser<http::string_body> Parser;
  Parser.body_limit(MaxBodyBytes);
  if (!Code)
    Code = co_await readAnswerHead(*Stream, Buffer, Parser);
  while (!Code && !Parser.is_done())
    Code = co_await readSome(*Stream, Buffer, Parser);
  if (Code) {
    Stream.reset();
    co_return tl::unexpected(makeError(error_kind::unknown_effect, Code));
  }
  http_response Response = Parser.release();
  if (!Response.keep_alive())
    Stream.reset();
  co_return Response;
}

awaitable<result<http_response>> httpCall(address Server, http_request Request,
                                          milliseconds Timeout,
                                          std::size_t MaxBodyBytes) {
  http_client Client(std::move(Server), MaxBodyBytes);
  Request.keep_alive(false);
  co_return co_await Client.call(std::move(Request), Timeout);
}

http_request makeRequest(http::verb Method, std::string_view Target,
                         std::string Body) {
  http_request Request(Method, beast::string_view(Target.data(), Target.size()),
                       11);
  if (!Body.empty())
    Request.set(http::field::content_type, "application/json");
  Request.body() = std::move(Body);
  return Request;
}

} // namespace chivebeam
