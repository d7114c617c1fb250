#pragma once

#include <set>

#include "data/call_headers.h"
#include "data/data_plane.h"
#include "data/http_exchange.h"

namespace chivebeam {

/// Serves one caller's connection: routes each call and forwards it to the home
/// node of the chosen backend server.
class entry_session {
public:
  entry_session(data_plane &Plane, tcp::socket Socket);

  /// Returns when the connection is closed.
  awaitable<void> run();
  /// Closes the connection if no byte of a request has arrived.
  void closeIfIdle();
  /// Closes the connection if no complete request header has arrived.
  void closeIfReading();

private:
  /// How one attempt ended. answered: the caller has the answer; closed: the
  /// connection to the caller must be closed.
  enum class attempt_end { answered, not_run, unknown, closed };

  struct call {
    request_id Id;
    fleet_view_ptr View;
    const route_rule *Route = nullptr;
    std::string StickyKey;
    bool KeepAlive = false;    ///< as the caller requested
    unsigned Version = 11;     ///< the caller's HTTP version
    bool OutermostHop = false; ///< this node is the first of a chain of calls
    std::set<node_id> Tried;
    call_result Result = call_result::not_run; ///< as far as known
    unsigned Status = 0; ///< status of the home node's answer
  };
  struct target {
    const endpoint *Endpoint = nullptr;
    bool NewVersion = false;
  };
  struct home_answer {
    std::string Outcome;
    std::string FreeSlots;
    unsigned Status = 0;
  };

  awaitable<bool> serveCall(request_parser &Request);
  /// Processes a call that has a route until it is answered.
  awaitable<bool> runCall(call &Call, request_parser &Request);
  awaitable<bool> refuse(const problem &Problem, const call &Call,
                         const request_parser &Request);
  void prepareRequest(const call &Call, http::fields &Fields) const;
  awaitable<bool> claimAndForward(call &Call, request_parser &Request,
                                  request_body &Body,
                                  call_cancellation &Cancellation);
  awaitable<bool> forward(call &Call, request_parser &Request,
                          request_body &Body, call_cancellation &Cancellation);
  awaitable<attempt_end> runAttempt(call &Call, const target &Target,
                                    request_parser &Request, request_body &Body,
                                    call_cancellation &Cancellation);
  awaitable<attempt_end>
  runExchange(call &Call, const target &Target, beast::tcp_stream &Upstream,
              request_parser &Request, request_body &Body,
              call_cancellation &Cancellation, bool &Reusable);
  target choose(const call &Call);
  static bool hasUntriedNodes(const call &Call);
  bool mayRetry(const call &Call, const request_body &Body,
                attempt_end Last) const;
  void recordObservation(const call &Call, const target &Target,
                         call_verdict Verdict, const std::string &FreeSlots,
                         instant Started);
  /// Reports a served or failed call to the control thread if its service is in
  /// a move that sends calls to the new version.
  void reportMoveOutcome(const call &Call, const target &Target,
                         call_verdict Verdict);
  void logFailure(const call &Call, const target &Target,
                  const exchange_result &Result) const;

  data_plane &Plane;
  beast::tcp_stream Stream;
  disconnect_watcher CallerWatcher;
  beast::flat_buffer Buffer;
  const request_parser *PendingHeader = nullptr; ///< null if none is being read
  bool KeepCallerConnection = false;             ///< after the last answer
};

} // namespace chivebeam
