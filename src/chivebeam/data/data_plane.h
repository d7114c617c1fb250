#pragma once

#include <functional>
#include <set>
#include <unordered_map>

#include "claims/claim_client.h"
#include "data/call_queue.h"
#include "data/data_messages.h"
#include "data/upstream_pool.h"
#include "node/node_settings.h"
#include "routing/picking_policy.h"
#include "routing/retry_budget.h"
#include "routing/version_splitter.h"

namespace chivebeam {

class entry_session;

/// Forwards calls. As entry node, accepts calls from callers and sends them to
/// the home node of the chosen backend server. As home node, accepts calls from
/// other nodes and runs them on its own backend server. Runs on the io_context
/// of its own thread.
class data_plane {
public:
  using event_sink = std::function<void(data_event)>;

  /// \pre Context, Views and Settings outlive the data plane.
  data_plane(asio::io_context &Context, const node_settings &Settings,
             atomic_fleet_view &Views, event_sink Sink);

  /// Opens the listener for calls from other nodes.
  result<address> openRelay();
  void handle(data_command Command);

  /// The functions from here to report() are for this data plane's sessions.
  const node_settings &settings() const { return Settings; }
  fleet_view_ptr view() const { return Views.load(); }
  version_splitter &splitter() { return Splitter; }
  picking_policy &picker() { return *Picker; }
  upstream_pool &pool() { return Pool; }
  call_queue &queue() { return Queue; }
  claim_client &claims() { return Claims; }
  asio::io_context &context() { return Context; }
  const worker_binding &worker() const { return Worker; }
  bool draining() const { return Draining; }
  request_id generateRequestId();
  void callStarted() { ++OpenCalls; }
  void callEnded();
  /// Returns the retry budget of a route.
  retry_budget &retryBudget(const route_rule &Route);
  void report(call_outcome Outcome) { Sink(std::move(Outcome)); }

private:
  enum class caller_kind { traffic, relay };

  void bindWorker(worker_binding Binding);
  awaitable<void> drain();

  void openTraffic();
  void beginDrain();
  void checkDrained();
  awaitable<void> acceptLoop(tcp::acceptor &Acceptor, caller_kind Kind);
  awaitable<void> closeIdleLoop();
  void openSession(tcp::socket Socket, caller_kind Kind);
  awaitable<void> runEntry(tcp::socket Socket);
  awaitable<void> runRelay(tcp::socket Socket);
  awaitable<void> refuseConnection(tcp::socket Socket);

  asio::io_context &Context;
  const node_settings &Settings;
  atomic_fleet_view &Views;
  event_sink Sink;
  tcp::acceptor TrafficAcceptor;
  tcp::acceptor RelayAcceptor;
  version_splitter Splitter;
  std::unique_ptr<picking_policy> Picker;
  upstream_pool Pool;
  call_queue Queue;
  claim_client Claims;
  worker_binding Worker;
  std::unordered_map<route_name, retry_budget> RetryBudgets;
  std::set<entry_session *> EntrySessions;
  unsigned OpenCalls = 0;
  unsigned RelayConnections = 0;
  unsigned RefusedConnections = 0; ///< open until their refusal is sent
  std::uint64_t NextRequest = 0;
  std::uint64_t RequestSeed = 0;
  bool Draining = false;
  /// The drain notice time has passed and the listener for callers is closed.
  bool DrainNoticeElapsed = false;
  bool DrainReported = false;
};

} // namespace chivebeam
