#include "data/data_plane.h"

#include <cstdio>

#include "data/entry_session.h"
#include "data/relay_session.h"
#include "data/session_tools.h"
#include "net/clock.h"
#include "net/http_service.h"
#include "routing/round_robin_picker.h"
#include "routing/worker_picker.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr seconds PoolIdleLimit{10};
constexpr milliseconds PoolCheckInterval{2'000};
constexpr milliseconds AcceptRetryDelay{50};
/// During a drain, time for a partly received header to arrive completely.
constexpr milliseconds PartialHeaderGrace{1'000};
constexpr unsigned MaxRefusedConnections = 64;
/// Minimum retry budget of every route. It lets calls that certainly did not
/// run be retried even on routes with a smaller budget.
constexpr unsigned NotRunRetryPercent = 5;
constexpr double RetryBurst = 10;

std::uint64_t seedOf(const node_settings &Settings) {
  return std::hash<std::string>()(Settings.Node.str());
}

std::unique_ptr<picking_policy> makePicker(const node_settings &Settings) {
  if (Settings.Routing == routing_policy::round_robin)
    return std::make_unique<round_robin_picker>();
  return std::make_unique<worker_picker>(Settings.Domain, seedOf(Settings));
}

} // namespace

data_plane::data_plane(asio::io_context &IoContext,
                       const node_settings &NodeSettings,
                       atomic_fleet_view &FleetViews, event_sink EventSink)
    : Context(IoContext), Settings(NodeSettings), Views(FleetViews),
      Sink(std::move(EventSink)), TrafficAcceptor(IoContext),
      RelayAcceptor(IoContext), Splitter(seedOf(NodeSettings)),
      Picker(makePicker(NodeSettings)), Pool(IoContext),
      Claims(NodeSettings.Fleet),
      RequestSeed(seedOf(NodeSettings) ^
                  static_cast<std::uint64_t>(
                      currentTime().time_since_epoch().count())) {}

result<address> data_plane::openRelay() {
  result<address> Bound = openAcceptor(RelayAcceptor, Settings.Relay);
  if (!Bound)
    return Bound;
  asio::co_spawn(Context, acceptLoop(RelayAcceptor, caller_kind::relay),
                 asio::detached);
  asio::co_spawn(Context, closeIdleLoop(), asio::detached);
  return Bound;
}

void data_plane::handle(data_command Command) {
  if (auto *Binding = std::get_if<worker_binding>(&Command)) {
    bindWorker(std::move(*Binding));
  } else if (std::holds_alternative<open_traffic>(Command)) {
    openTraffic();
  } else {
    beginDrain();
  }
}

void data_plane::bindWorker(worker_binding Binding) {
  bool WorkerChanged = Binding.Worker != Worker.Worker;
  if (WorkerChanged)
    Pool.closeAll(Worker.Worker);
  Worker = std::move(Binding);
  Worker.Slots = std::min(Worker.Slots, Settings.Limits.WorkerConnections);
  Queue.setSlots(Worker.Slots);
  if (WorkerChanged && Worker.Slots > 0)
    asio::co_spawn(Context, Pool.preconnect(Worker.Worker, Worker.Slots),
                   asio::detached);
}

void data_plane::openTraffic() {
  if (TrafficAcceptor.is_open() || Draining)
    return;
  result<address> Bound = openAcceptor(TrafficAcceptor, Settings.Traffic);
  if (!Bound) {
    log_event("traffic_failed").add("error", Bound.error().text());
    return;
  }
  Sink(traffic_opened{*Bound});
  asio::co_spawn(Context, acceptLoop(TrafficAcceptor, caller_kind::traffic),
                 asio::detached);
}

void data_plane::beginDrain() {
  if (Draining)
    return;
  Draining = true;
  asio::co_spawn(Context, drain(), asio::detached);
}

/// Serves callers with Connection: close during the drain notice, in which the
/// peers learn that this node leaves. Then closes the listener and the idle
/// connections and, after PartialHeaderGrace, those with an incomplete header.
awaitable<void> data_plane::drain() {
  co_await sleepFor(
      std::min(Settings.Limits.DrainNotice, Settings.Limits.DrainLimit));
  error_code Ignored;
  TrafficAcceptor.close(Ignored);
  for (entry_session *Session : EntrySessions)
    Session->closeIfIdle();
  DrainNoticeElapsed = true;
  checkDrained();
  co_await sleepFor(PartialHeaderGrace);
  for (entry_session *Session : EntrySessions)
    Session->closeIfReading();
}

void data_plane::checkDrained() {
  if (!DrainNoticeElapsed || OpenCalls > 0 || !EntrySessions.empty() ||
      DrainReported)
    return;
  DrainReported = true;
  Sink(data_drained{});
}

void data_plane::callEnded() {
  --OpenCalls;
  checkDrained();
}

retry_budget &data_plane::retryBudget(const route_rule &Route) {
  unsigned Share = std::max(Route.RetryBudgetPercent, NotRunRetryPercent);
  auto [Found, Inserted] =
      RetryBudgets.try_emplace(Route.Name, Share, RetryBurst);
  if (!Inserted)
    Found->second.setShare(Share);
  return Found->second;
}

request_id data_plane::generateRequestId() {
  char Text[40];
  std::snprintf(Text, sizeof Text, "%016llx%08llx",
                static_cast<unsigned long long>(RequestSeed),
                static_cast<unsigned long long>(++NextRequest));
  return request_id(Text);
}

awaitable<void> data_plane::acceptLoop(tcp::acceptor &Acceptor,
                                       caller_kind Kind) {
  while (Acceptor.is_open()) {
    error_code Code;
    tcp::socket Socket = co_await Acceptor.async_accept(orError(Code));
    if (Code == asio::error::operation_aborted)
      co_return;
    if (Code)
      co_await sleepFor(AcceptRetryDelay);
    else
      openSession(std::move(Socket), Kind);
  }
}

void data_plane::openSession(tcp::socket Socket, caller_kind Kind) {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  std::size_t Open =
      Kind == caller_kind::traffic ? EntrySessions.size() : RelayConnections;
  if (Open >= Settings.Limits.CallerConnections)
    asio::co_spawn(Context, refuseConnection(std::move(Socket)),
                   asio::detached);
  else if (Kind == caller_kind::traffic)
    asio::co_spawn(Context, runEntry(std::move(Socket)), asio::detached);
  else
    asio::co_spawn(Context, runRelay(std::move(Socket)), asio::detached);
}

awaitable<void> data_plane::runEntry(tcp::socket Socket) {
  entry_session Session(*this, std::move(Socket));
  EntrySessions.insert(&Session);
  co_await Session.run();
  EntrySessions.erase(&Session);
  checkDrained();
}

awaitable<void> data_plane::runRelay(tcp::socket Socket) {
  ++RelayConnections;
  relay_session Session(*this, std::move(Socket));
  co_await Session.run();
  --RelayConnections;
}

awaitable<void> data_plane::refuseConnection(tcp::socket Socket) {
  if (RefusedConnections >= MaxRefusedConnections)
    co_return;
  ++RefusedConnections;
  beast::tcp_stream Stream(std::move(Socket));
  problem Problem{http::status::service_unavailable, call_result::not_run,
                  "this node has too many connections",
                  "use another node, or come back after Retry-After",
                  seconds(1)};
  co_await sendProblem(Stream, Problem, "", false);
  co_await closeGracefully(Stream);
  --RefusedConnections;
}

awaitable<void> data_plane::closeIdleLoop() {
  for (;;) {
    co_await sleepFor(PoolCheckInterval);
    Pool.closeIdle(currentTime() - PoolIdleLimit);
    if (fleet_view_ptr View = view())
      Picker->removeAbsent(*View);
  }
}

} // namespace chivebeam
