#pragma once

#include "data/disconnect_watcher.h"
#include "mesh/body_budget.h"
#include "mesh/entry_router.h"

namespace chivebeam {

/// State that the sessions of one listener share.
struct session_context {
  entry_router &Router;
  const call_protocol &Protocol;
  mesh_state &State;
  mesh_metrics &Metrics;
  body_budget &Bodies;   ///< of requests
  bool Draining = false; ///< answers carry Connection: close
};

/// Serves the connection of one caller: reads each request completely, runs it
/// and writes the answer. Runs on one io_context; not thread safe.
class caller_session {
public:
  /// \pre Shared outlives the session.
  caller_session(session_context &Shared, tcp::socket Socket);

  /// Serves requests; completes when the connection is closed.
  awaitable<void> run();
  /// Closes the connection if it is waiting for a request and no byte of it has
  /// arrived.
  void closeIfIdle();
  /// Applies the idle timeout of a new configuration to a connection that is
  /// waiting for a request. A wait is extended but never shortened, because the
  /// caller may not know of the change yet.
  void extendIdleTime();
  /// True while a request is read, runs or is answered.
  bool isBusy() const { return !Idle; }

private:
  using request_parser = http::request_parser<http::string_body>;

  awaitable<bool> serveRequest();
  /// Waits for the first bytes of a request; returns false if none arrive
  /// within the idle timeout.
  awaitable<bool> awaitRequest();
  awaitable<bool> readHeader(request_parser &Parser);
  awaitable<bool> readBody(request_parser &Parser, instant ArrivedAt);
  awaitable<bool> runCall(http::request<http::string_body> Request,
                          instant ArrivedAt);
  awaitable<bool> refuse(own_answer Answer, const request_id &Id, bool Keep);
  awaitable<bool> write(unsigned Status, const header_list &Fields,
                        shared_body Body, bool Keep, bool HeadOnly);
  own_answer answerTo(const error_code &Code) const;
  /// Returns the limits of the configuration that is in force.
  caller_limits limits() const;

  session_context &Shared;
  beast::tcp_stream Stream;
  disconnect_watcher Watch;
  beast::flat_buffer Buffer;
  bool Idle = false;
  bool CloseRequested = false;
  instant IdleUntil; ///< end of the wait for a request, while Idle is set
  instant IdleSince;
};

} // namespace chivebeam
