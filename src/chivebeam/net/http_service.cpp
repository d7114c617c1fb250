#include "net/http_service.h"

#include <algorithm>

#include "net/bounded_request_parser.h"
#include "net/http_reads.h"

namespace chivebeam {

namespace {

constexpr std::chrono::seconds IdleTimeout{60};
constexpr std::uint64_t MaxHeaderBytes = 8 << 10;
/// Bytes that wait to be parsed; the line before a chunk may have any length.
constexpr std::size_t MaxUnparsedBytes = 128 << 10;
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

} // namespace

result<address> openAcceptor(tcp::acceptor &Acceptor,
                             const address &ListenAddress) {
  tcp::endpoint Endpoint = toTcp(ListenAddress);
  error_code Code;
  Acceptor.open(Endpoint.protocol(), Code);
  if (!Code)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Code);
  if (!Code)
    Acceptor.bind(Endpoint, Code);
  if (!Code)
    Acceptor.listen(asio::socket_base::max_listen_connections, Code);
  if (Code)
    return tl::unexpected(
        error{error_kind::unavailable, ListenAddress.text(),
              "can't listen on this address: " + Code.message(),
              "set a free address of this machine, or port "
              "0 to use any free port"});
  return toAddress(Acceptor.local_endpoint());
}

http_response makeResponse(http::status Status, std::string Body) {
  http_response Response(Status, 11);
  Response.set(http::field::content_type, Status < http::status::bad_request
                                              ? "application/json"
                                              : "application/problem+json");
  Response.body() = std::move(Body);
  return Response;
}

http_service::http_service(asio::io_context &Context, std::size_t MaxBodyBytes,
                           handler Handler, std::size_t MaxConnections)
    : Context(Context), Acceptor(Context), MaxBodyBytes(MaxBodyBytes),
      Handler(std::move(Handler)), MaxConnections(MaxConnections) {}

result<address> http_service::listen(const address &ListenAddress) {
  result<address> Bound = openAcceptor(Acceptor, ListenAddress);
  if (Bound)
    asio::co_spawn(Context, acceptLoop(), asio::detached);
  return Bound;
}

void http_service::close() {
  error_code Ignored;
  Acceptor.close(Ignored);
}

awaitable<void> http_service::acceptLoop() {
  while (Acceptor.is_open()) {
    error_code Code;
    tcp::socket Socket = co_await Acceptor.async_accept(orError(Code));
    if (Code == asio::error::operation_aborted)
      co_return;
    if (Code) {
      co_await sleepFor(AcceptRetryDelay);
      continue;
    }
    if (Open.size() >= MaxConnections && !makeRoom())
      continue;
    auto Connection = std::make_shared<connection>(
        connection{beast::tcp_stream(std::move(Socket))});
    Open.push_back(Connection);
    asio::co_spawn(Context, serve(std::move(Connection)), asio::detached);
  }
}

bool http_service::makeRoom() {
  auto Oldest =
      std::find_if(Open.begin(), Open.end(),
                   [](const auto &Candidate) { return !Candidate->Running; });
  if (Oldest == Open.end())
    return false;
  (*Oldest)->Stream.close();
  Open.erase(Oldest);
  return true;
}

awaitable<void> http_service::serve(std::shared_ptr<connection> Connection) {
  beast::tcp_stream &Stream = Connection->Stream;
  error_code Code;
  tcp::endpoint Remote = Stream.socket().remote_endpoint(Code);
  Stream.socket().set_option(tcp::no_delay(true), Code);
  beast::flat_buffer Buffer(MaxUnparsedBytes);
  bool KeepOpen = !Code;
  while (KeepOpen) {
    bounded_request_parser Parser;
    Parser.limitTo(MaxHeaderBytes, MaxBodyBytes);
    Stream.expires_after(IdleTimeout);
    while (!Code && !Parser.is_done())
      Code = co_await readSome(Stream, Buffer, Parser);
    if (Code)
      break;
    Connection->Running = true;
    http_response Response = co_await Handler(Parser.get(), toAddress(Remote));
    Connection->Running = false;
    KeepOpen = Parser.get().keep_alive() && Acceptor.is_open();
    Response.keep_alive(KeepOpen);
    Response.prepare_payload();
    co_await http::async_write(Stream, Response, orError(Code));
    KeepOpen = KeepOpen && !Code;
  }
  Stream.socket().shutdown(tcp::socket::shutdown_both, Code);
  Open.remove(Connection);
}

} // namespace chivebeam
