#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "data/call_cancellation.h"

namespace chivebeam {

using upstream_stream = std::unique_ptr<beast::tcp_stream>;

/// Pool of idle connections to other servers. A connection is used by one call
/// at a time and returned only after a complete answer. Runs on one io_context;
/// not thread safe.
class upstream_pool {
public:
  explicit upstream_pool(asio::io_context &IoContext) : Context(IoContext) {}

  /// Returns an idle connection that the other side has not closed, or a new
  /// one; null if connecting fails or the call is cancelled. A connection idle
  /// for longer than MaxIdle is not used, since the other side may be closing
  /// it. If a new connection is made and ConnectTime is not null, stores the
  /// time it took.
  awaitable<upstream_stream> acquire(const address &Server,
                                     microseconds MaxIdle,
                                     call_cancellation &Cancellation,
                                     microseconds *ConnectTime = nullptr);
  void release(const address &Server, upstream_stream Stream, instant Now);
  /// Opens connections until Count are idle or one fails. \pre The server
  /// accepts that many.
  awaitable<void> preconnect(address Server, std::size_t Count);
  /// Closes connections that are idle since before Limit and those that the
  /// other side has closed.
  void closeIdle(instant Limit);
  /// Closes all idle connections to a server.
  void closeAll(const address &Server) { Idle.erase(Server); }
  std::size_t idleCount(const address &Server) const;

private:
  struct idle_stream {
    upstream_stream Stream;
    instant Since;
  };

  upstream_stream takeIdle(const address &Server, instant Oldest);

  asio::io_context &Context;
  std::map<address, std::vector<idle_stream>> Idle;
};

} // namespace chivebeam
