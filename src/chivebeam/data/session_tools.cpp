#include "data/session_tools.h"

#include <array>

namespace chivebeam {

namespace {

constexpr milliseconds WriteTimeout{5'000};
constexpr milliseconds LingerTime{500};
constexpr std::size_t LingerBytes = 1 << 20;

awaitable<bool> send(beast::tcp_stream &Stream,
                     http::response<http::string_body> &Response,
                     bool KeepAlive) {
  Response.keep_alive(KeepAlive);
  Response.prepare_payload();
  Stream.expires_after(WriteTimeout);
  error_code Code;
  co_await http::async_write(Stream, Response, orError(Code));
  Stream.expires_never();
  co_return KeepAlive && !Code;
}

} // namespace

awaitable<bool> sendProblem(beast::tcp_stream &Stream, const problem &Problem,
                            std::string_view RequestId, bool KeepAlive) {
  auto Response = makeProblem(Problem, RequestId);
  co_return co_await send(Stream, Response, KeepAlive);
}

awaitable<bool> sendProblem(beast::tcp_stream &Stream, const problem &Problem,
                            std::string_view RequestId, bool KeepAlive,
                            int FreeSlots) {
  auto Response = makeProblem(Problem, RequestId);
  Response.set(toBeast(FreeSlotsField), std::to_string(FreeSlots));
  co_return co_await send(Stream, Response, KeepAlive);
}

awaitable<void> closeGracefully(beast::tcp_stream &Stream) {
  error_code Code;
  Stream.socket().shutdown(tcp::socket::shutdown_send, Code);
  std::array<char, 4096> Ignored;
  std::size_t Total = 0;
  Stream.expires_after(LingerTime);
  while (!Code && Total < LingerBytes)
    Total +=
        co_await Stream.async_read_some(asio::buffer(Ignored), orError(Code));
  Stream.close();
}

void resetConnection(beast::tcp_stream &Stream) {
  error_code Ignored;
  Stream.socket().set_option(asio::socket_base::linger(true, 0), Ignored);
  Stream.close();
}

} // namespace chivebeam
