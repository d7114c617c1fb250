#pragma once

#include <set>

#include "mesh/caller_session.h"
#include "mesh/mesh_settings.h"
#include "net/http_service.h"

namespace chivebeam {

/// Accepts the connections of callers and keeps track of their sessions. Runs
/// on one io_context; not thread safe.
class caller_listener {
public:
  /// \pre Context, Settings and what Sessions refers to outlive the listener.
  caller_listener(asio::io_context &Context, const mesh_settings &Settings,
                  const session_context &Sessions)
      : Context(Context), Settings(Settings), Sessions(Sessions),
        Acceptor(Context) {}

  /// Binds the address; the kernel chooses a port for port 0.
  result<address> listen(const address &At) {
    return openAcceptor(Acceptor, At);
  }
  /// Starts to accept connections. \pre listen succeeded.
  void start();
  /// Lets all further answers ask their callers to close the connection.
  void beginDraining() { Sessions.Draining = true; }
  /// Closes the connections on which no request is in progress.
  void closeIdle();
  /// Applies the idle timeout of a configuration to the waiting connections.
  void setIdleTimeout(milliseconds IdleTimeout);
  /// True while a request is read, runs or is answered.
  bool isBusy() const;
  std::size_t openSessions() const { return Open.size(); }

private:
  awaitable<void> acceptLoop();
  /// Closes idle connections and ends slow requests and answers.
  void makeRoom(instant Now);
  /// Logs and counts what was ended.
  void noteEnded(std::size_t Requests, std::size_t Answers);
  void openSession(tcp::socket Socket);
  awaitable<void> runSession(tcp::socket Socket);

  asio::io_context &Context;
  const mesh_settings &Settings;
  session_context Sessions;
  tcp::acceptor Acceptor;
  std::set<caller_session *> Open;
  milliseconds IdleTimeoutInForce{0};
};

} // namespace chivebeam
