#pragma once

#include "data/call_headers.h"
#include "data/data_plane.h"
#include "data/http_exchange.h"

namespace chivebeam {

/// Serves one connection from another node: each call waits for a slot of the
/// backend server beside this node and is then forwarded to that server.
class relay_session {
public:
  relay_session(data_plane &Plane, tcp::socket Socket);

  /// Returns when the connection is closed.
  awaitable<void> run();

private:
  /// The data of a call that the home node needs, taken from its header.
  struct call {
    std::string Id;
    route_name Route;
    work_class Class = work_class::status;
    workspace_name Workspace;
    bool Idempotent = false;
    bool KeepAlive = false;
  };

  /// The next three functions process a call in this order: read and admit it,
  /// connect to the backend server, run it and free its slot.
  awaitable<bool> serveCall(request_parser &Request);
  awaitable<bool> runAdmitted(const call &Call, request_parser &Request,
                              request_body &Body,
                              call_cancellation &Cancellation);
  awaitable<bool> runOnWorker(const call &Call, upstream_stream Upstream,
                              request_parser &Request, request_body &Body,
                              call_cancellation &Cancellation);
  awaitable<bool> refuse(const call &Call, const request_body &Body,
                         call_result Result, std::string_view Title);
  call readCall(http::fields &Fields) const;
  void report(const call &Call, bool Failed, microseconds Duration);
  void finishCall(const call &Call, const exchange_result &Result,
                  cancel_reason Reason, microseconds Duration);
  bool acceptsCalls() const;

  data_plane &Plane;
  beast::tcp_stream Stream;
  disconnect_watcher CallerWatcher;
  beast::flat_buffer Buffer;
};

} // namespace chivebeam
