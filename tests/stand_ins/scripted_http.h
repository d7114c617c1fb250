#pragma once

#include <functional>
#include <optional>

#include "net/asio_types.h"

namespace chivebeam::tests {

using text_answer = http::response<http::string_body>;

/// A backend server whose every connection is served by a script.
class scripted_worker {
public:
  using script = std::function<awaitable<void>(tcp::socket &Socket)>;

  scripted_worker(asio::io_context &Context, script Script);
  const address &bound() const { return Bound; }

  unsigned Requests = 0; ///< counted by the scripts

private:
  awaitable<void> acceptLoop();
  awaitable<void> serve(tcp::socket Socket);

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  script Script;
  address Bound;
};

/// A caller's connection.
class caller {
public:
  explicit caller(asio::io_context &Context) : Stream(Context) {}

  awaitable<void> connect(address To);
  awaitable<void> send(std::string Bytes);
  /// Reads one answer; nothing if the connection ended without a whole one.
  awaitable<std::optional<text_answer>> read(bool Head = false);
  awaitable<std::optional<text_answer>> call(std::string Bytes);
  /// Returns the next line, such as that of an interim answer.
  awaitable<std::string> readLine();
  /// True if the other side has ended the connection.
  awaitable<bool> ended();
  void close() { Stream.close(); }

private:
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
};

/// Reads a whole request. Returns its body, nothing if it broke off.
awaitable<std::optional<http::request<http::string_body>>>
readRequest(tcp::socket &Socket, beast::flat_buffer &Buffer);
awaitable<void> write(tcp::socket &Socket, std::string Bytes);
void reset(tcp::socket &Socket);

/// Answers each request with its own body.
scripted_worker::script echo(unsigned *Requests = nullptr);

std::string get(std::string Path, std::string Fields = "");
std::string post(std::string Path, std::string Body, std::string Fields = "");

} // namespace chivebeam::tests
