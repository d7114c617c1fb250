#pragma once

#include <functional>
#include <memory>

#include "net/asio_types.h"

namespace chivebeam {

/// Detects that the remote side closes or resets a connection while nothing is
/// read from it. Does not consume received bytes. One watcher serves all calls
/// of a connection, one after the other. Runs on one io_context; not thread
/// safe.
class disconnect_watcher {
public:
  using handler = std::function<void()>;

  /// \pre Socket outlives the watcher.
  explicit disconnect_watcher(tcp::socket &Socket);
  ~disconnect_watcher();
  disconnect_watcher(const disconnect_watcher &) = delete;
  disconnect_watcher &operator=(const disconnect_watcher &) = delete;

  /// Starts watching. OnDisconnect is called at most once.
  void start(handler OnDisconnect);
  /// Stops watching. Call before reading from the connection.
  void stop();

private:
  struct state;

  static void waitFor(const std::shared_ptr<state> &State,
                      tcp::socket::wait_type Type);
  static void check(const std::shared_ptr<state> &State);

  std::shared_ptr<state> State;
};

} // namespace chivebeam
