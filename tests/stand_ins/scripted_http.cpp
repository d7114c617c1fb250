#include "stand_ins/scripted_http.h"

#include <boost/asio/read_until.hpp>

#include "net/http_service.h"

namespace chivebeam::tests {

namespace {

const address AnyPort{"127.0.0.1", 0};

} // namespace

scripted_worker::scripted_worker(asio::io_context &IoContext, script NewScript)
    : Context(IoContext), Acceptor(IoContext), Script(std::move(NewScript)) {
  Bound = openAcceptor(Acceptor, AnyPort).value();
  asio::co_spawn(Context, acceptLoop(), asio::detached);
}

awaitable<void> scripted_worker::acceptLoop() {
  for (;;) {
    error_code Code;
    tcp::socket Socket = co_await Acceptor.async_accept(orError(Code));
    if (Code)
      co_return;
    asio::co_spawn(Context, serve(std::move(Socket)), asio::detached);
  }
}

awaitable<void> scripted_worker::serve(tcp::socket Socket) {
  Open.insert(&Socket);
  co_await Script(Socket);
  Open.erase(&Socket);
}

void scripted_worker::crash() {
  error_code Ignored;
  Acceptor.close(Ignored);
  for (tcp::socket *Socket : Open)
    Socket->close(Ignored);
}

void scripted_worker::restart() {
  Bound = openAcceptor(Acceptor, Bound).value();
  asio::co_spawn(Context, acceptLoop(), asio::detached);
}

awaitable<void> caller::connect(address To) {
  co_await Stream.async_connect(toTcp(To), asio::use_awaitable);
}

awaitable<void> caller::send(std::string Bytes) {
  error_code
      Ignored; // the server may answer and close before it has read everything
  co_await asio::async_write(Stream, asio::buffer(Bytes), orError(Ignored));
}

awaitable<std::optional<text_answer>> caller::read(bool Head) {
  http::response_parser<http::string_body> Parser;
  Parser.skip(Head);
  Parser.body_limit(64 << 20);
  error_code Code;
  co_await http::async_read(Stream, Buffer, Parser, orError(Code));
  if (Code)
    co_return std::nullopt;
  co_return Parser.release();
}

awaitable<std::optional<text_answer>> caller::call(std::string Bytes) {
  co_await send(std::move(Bytes));
  co_return co_await read();
}

awaitable<std::string> caller::readLine() {
  std::string Line;
  error_code Code;
  std::size_t Size = co_await asio::async_read_until(
      Stream.socket(), asio::dynamic_buffer(Line), "\r\n\r\n", orError(Code));
  co_return Line.substr(0, std::min(Size, Line.find('\r')));
}

awaitable<bool> caller::ended() {
  char Byte = 0;
  error_code Code;
  co_await Stream.async_read_some(asio::buffer(&Byte, 1), orError(Code));
  co_return static_cast<bool>(Code);
}

awaitable<std::optional<http::request<http::string_body>>>
readRequest(tcp::socket &Socket, beast::flat_buffer &Buffer) {
  http::request_parser<http::string_body> Parser;
  Parser.body_limit(64 << 20);
  error_code Code;
  co_await http::async_read(Socket, Buffer, Parser, orError(Code));
  if (Code)
    co_return std::nullopt;
  co_return Parser.release();
}

awaitable<void> write(tcp::socket &Socket, std::string Bytes) {
  error_code Ignored;
  co_await asio::async_write(Socket, asio::buffer(Bytes), orError(Ignored));
}

void reset(tcp::socket &Socket) {
  Socket.set_option(asio::socket_base::linger(true, 0));
  Socket.close();
}

scripted_worker::script echo(unsigned *Requests) {
  return [Requests](tcp::socket &Socket) -> awaitable<void> {
    beast::flat_buffer Buffer;
    while (auto Request = co_await readRequest(Socket, Buffer)) {
      if (Requests)
        ++*Requests;
      text_answer Answer(http::status::ok, 11);
      Answer.body() = Request->body();
      Answer.prepare_payload();
      error_code Code;
      co_await http::async_write(Socket, Answer, orError(Code));
    }
  };
}

std::string get(std::string Path, std::string Fields) {
  return "GET " + Path + " HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n";
}

std::string post(std::string Path, std::string Body, std::string Fields) {
  return "POST " + Path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n" + Fields + "\r\n" + Body;
}

} // namespace chivebeam::tests
