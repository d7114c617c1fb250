#pragma once

#include <functional>
#include <optional>
#include <set>

#include "net/asio_types.h"

namespace chivebeam::tests {

using text_answer = http::response<http::string_body>;

/// A backend server that serves each connection with a script.
class scripted_worker {
public:
  using script = std::function<awaitable<void>(tcp::socket &Socket)>;

  scripted_worker(asio::io_context &Context, script Script);
  const address &bound() const { return Bound; }
  /// Ends as a crash does: all connections close without an answer and new ones
  /// are refused.
  void crash();
  /// Accepts connections again at the same address.
  void restart();

  unsigned Requests = 0; ///< counted by the scripts

private:
  awaitable<void> acceptLoop();
  awaitable<void> serve(tcp::socket Socket);

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  script Script;
  address Bound;
  std::set<tcp::socket *> Open;
};

/// One HTTP connection of a caller.
class caller {
public:
  explicit caller(asio::io_context &Context) : Stream(Context) {}

  awaitable<void> connect(address To);
  awaitable<void> send(std::string Bytes);
  /// Reads one answer; returns nothing if the connection ends before it is
  /// complete. With Head, no body is expected.
  awaitable<std::optional<text_answer>> read(bool Head = false);
  awaitable<std::optional<text_answer>> call(std::string Bytes);
  /// Reads a header and returns its first line, for example that of an interim
  /// answer.
  awaitable<std::string> readLine();
  /// Waits for data; true if the connection has ended instead.
  awaitable<bool> ended();
  void close() { Stream.close(); }

private:
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
};

/// Reads a complete request; returns nothing if the connection ends first.
awaitable<std::optional<http::request<http::string_body>>>
readRequest(tcp::socket &Socket, beast::flat_buffer &Buffer);
awaitable<void> write(tcp::socket &Socket, std::string Bytes);
/// Closes the connection with a TCP reset.
void reset(tcp::socket &Socket);

/// Returns a script that answers each request with the request's body.
/// \param Requests counts the requests if given.
scripted_worker::script echo(unsigned *Requests = nullptr);

std::string get(std::string Path, std::string Fields = "");
std::string post(std::string Path, std::string Body, std::string Fields = "");

} // namespace chivebeam::tests
