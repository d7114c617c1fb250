// Blocking HTTP/1.1 for the stand-ins of the review: a server with a thread for
// each connection, and a client connection.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace review {

using steady = std::chrono::steady_clock;

/// A message as it was read. Names of header fields are in lower case.
struct message {
  std::string Start; ///< the request line or status line
  std::map<std::string, std::string> Fields;
  std::string Body;

  std::string field(const std::string &Name) const;
  /// First, second or third word of the start line.
  std::string word(int Index) const;
  int status() const;
};

/// How the reading of a message ended.
enum class read_end { complete, closed, reset, timeout, malformed };

const char *toString(read_end End);

/// A connected socket with its unread bytes.
class connection {
public:
  explicit connection(int Descriptor) : Fd(Descriptor) {}
  connection(connection &&Other) noexcept;
  connection &operator=(connection &&Other) noexcept;
  ~connection();

  bool isOpen() const { return Fd >= 0; }
  bool send(const std::string &Bytes);
  /// Reads one message. IsAnswer: a body without a length lasts until the close.
  read_end read(message &Into, bool IsAnswer,
                std::chrono::milliseconds Timeout);
  /// True if the other side has closed the connection.
  bool isClosedByPeer() const;
  void close();
  /// Closes with a reset.
  void reset();
  int descriptor() const { return Fd; }

private:
  int Fd = -1;
  std::string Unread;
  read_end fill(steady::time_point Until);
};

struct endpoint {
  std::string Ip;
  int Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

/// Returns a port on which nothing listens at this address.
int freePort(const std::string &Ip);
/// Connects; the connection is not open if that failed.
connection connectTo(const endpoint &To, std::chrono::milliseconds Timeout);

/// Listens on an address and runs Handler in a thread for each connection.
class server {
public:
  using handler = std::function<void(connection &)>;
  server(endpoint At, handler Handler);
  ~server();
  /// Closes the listening socket and all connections.
  void stop();

private:
  struct state;
  std::shared_ptr<state> State;
};

std::string answerText(int Status, const std::string &Body,
                       const std::string &MoreFields = "");

/// Sends one request on a connection of its own; empty if there was no answer.
std::optional<message> call(const endpoint &To, const std::string &Method,
                            const std::string &Target, const std::string &Body,
                            const std::string &MoreFields,
                            std::chrono::milliseconds Timeout);

} // namespace review
