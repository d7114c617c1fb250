#include "mesh/mesh_node.h"

#include <algorithm>
#include <csignal>

#include "net/accept_loop.h"
#include "net/clock.h"
#include "telemetry/log_event.h"
#include "telemetry/log_writer.h"

namespace chivebeam {

namespace {

constexpr milliseconds TickInterval{100};
/// Nodes send their changes to each other at once, so changes in the store are
/// not urgent.
constexpr milliseconds MeshBatchDelay{1'500};
/// A change whose message between nodes was lost is noticed within this time
/// plus the age of a stale listing.
constexpr milliseconds MeshPollInterval{3'000};
constexpr milliseconds MeshSettleTime{2'000};
/// A watch of the operator's documents whose answer was lost, or whose
/// connection fell silent, ends soon after this time. A configuration has to be
/// in force within two seconds.
constexpr milliseconds OperatorWatchInterval{1'000};
/// Interval at which a node that is cut off from the store pings some peers.
constexpr milliseconds PeerPingInterval{300};
/// The settings file may change without a signal.
constexpr milliseconds SettingsCheckInterval{1'000};
/// A suspension of the machine is handled if it lasted at least this long. The
/// steady clock does not count this time.
constexpr milliseconds MinSuspension{300};
constexpr std::size_t MaxControlBody = 4 << 10;
/// Of each address that serves readiness or metrics.
constexpr std::size_t MaxControlConnections = 64;

http_response textResponse(http::status Status, std::string Text) {
  http_response Response(Status, 11);
  Response.set(http::field::content_type, "text/plain; version=0.0.4");
  Response.body() = std::move(Text);
  return Response;
}

} // namespace

mesh_node::mesh_node(asio::io_context &IoContext, mesh_settings NodeSettings,
                     mesh_dependencies NodeDependencies)
    : Settings(std::move(NodeSettings)),
      Dependencies(std::move(NodeDependencies)), Context(IoContext),
      Signals(Context, SIGTERM, SIGINT, SIGHUP),
      Bodies(body_account(Settings.MemoryBytes, Settings.Doors)),
      State(Settings, *Dependencies.DocumentFormat),
      Home(Context, *Dependencies.Calls, State, Bodies.Answers,
           Settings.LinkBytesPerSecond),
      Hub(Context, State, Bodies.Answers),
      Usage(Context, Settings, State, Hub, Metrics),
      Router(Context, Settings, *Dependencies.Calls, State, Home, Hub, Usage,
             Metrics),
      OperatorStore(Dependencies.OpenStore(Settings.Store)),
      MeshStore(Dependencies.OpenStore(Settings.Store)),
      RequestStore(Dependencies.OpenStore(Settings.Store)),
      Membership(Settings, State, Hub),
      Registrar(Context, *RequestStore, Settings, State, Membership),
      Workers(Context, Settings, *Dependencies.Workers, Home, State,
              *RequestStore),
      MoveExecutor(Context, *RequestStore, Settings,
                   *Dependencies.DocumentFormat, State, Hub),
      Evidence(Home, State, MoveExecutor),
      OperatorListener(Settings, *Dependencies.DocumentFormat, State,
                       MoveExecutor),
      MeshListener(Membership, MoveExecutor, Registrar),
      OperatorSubscription(*OperatorStore,
                           Dependencies.DocumentFormat->prefix(),
                           OperatorListener,
                           {.Mode = [this] { return operatorMode(); },
                            .OnCurrent = [this] { operatorDocumentsRead(); }}),
      MeshSubscription(
          *MeshStore, mesh_keys::prefix(), MeshListener,
          {.BatchDelay = MeshBatchDelay,
           .PollInterval = MeshPollInterval,
           .SettleTime = MeshSettleTime,
           .IsUrgent = [this] { return MoveExecutor.hasOpenMoves(); },
           .Mode =
               [this] {
                 return Registrar.isWatcher() ? subscription_mode::primary
                                              : subscription_mode::off;
               }}),
      Reliance(Settings.FirstStart, std::hash<node_id>()(Settings.Node)),
      Callers(Context, Settings,
              session_context{Router, *Dependencies.Calls, State, Metrics,
                              Bodies.Requests, Settings.Doors}),
      PeerAcceptor(Context),
      Readiness(
          Context, MaxControlBody,
          [this](const http_request &,
                 const address &) -> awaitable<http_response> {
            co_return textResponse(isReady()
                                       ? http::status::ok
                                       : http::status::service_unavailable,
                                   "");
          },
          MaxControlConnections),
      MetricsService(
          Context, MaxControlBody,
          [this](const http_request &,
                 const address &) -> awaitable<http_response> {
            co_return textResponse(http::status::ok, metricsText());
          },
          MaxControlConnections) {
  for (config_store *Store :
       {OperatorStore.get(), MeshStore.get(), RequestStore.get()})
    Store->setEraHandler([this](store_era Era) { State.noteEra(Era); });
  OperatorStore->setWatchInterval(OperatorWatchInterval);
  State.onEraRise([this](store_era Era) { eraRose(Era); });
  State.onChange([this] { viewChanged(); });
  Router.setStaleConfigCheck(
      [this] { return State.isBehind() || !isConfigCurrent(currentTime()); });
  State.onUsage([this](const usage_message &Message, const node_id &From) {
    Usage.handle(Message, From);
  });
  State.onEvidence([this](const evidence_report &Report) {
    MoveExecutor.handleEvidence(Report);
  });
}

result<void> mesh_node::listen() {
  auto StoreBoundAddress = [](address &Target, const result<address> &Bound) {
    if (Bound)
      Target = *Bound;
    return Bound;
  };
  for (const result<address> &Bound :
       {StoreBoundAddress(Settings.Peers,
                          openAcceptor(PeerAcceptor, Settings.Peers)),
        StoreBoundAddress(Settings.Callers, Callers.listen(Settings.Callers)),
        StoreBoundAddress(Settings.Readiness,
                          Readiness.listen(Settings.Readiness)),
        StoreBoundAddress(Settings.WorkerReports, Workers.listen())})
    if (!Bound)
      return tl::unexpected(Bound.error());
  if (Settings.Metrics.Ip.empty())
    return {};
  result<address> Bound = MetricsService.listen(Settings.Metrics);
  return Bound ? result<void>() : tl::unexpected(Bound.error());
}

result<void> mesh_node::start(stop_handler StopHandler) {
  OnStopped = std::move(StopHandler);
  if (result<void> Bound = listen(); !Bound)
    return Bound;
  State.setOwnRecord(State.ownRecord());
  log_event("node_started")
      .add("node", Settings.Node)
      .add("domain", Settings.Domain)
      .add("service", Settings.Service)
      .add("callers", Settings.Callers.text())
      .add("peers", Settings.Peers.text())
      .add("store", Settings.Store.text())
      .add("first_start", Settings.FirstStart);
  checkStandby(currentTime());
  asio::co_spawn(Context, OperatorSubscription.run(), asio::detached);
  asio::co_spawn(Context, MeshSubscription.run(), asio::detached);
  asio::co_spawn(Context, Registrar.run(), asio::detached);
  asio::co_spawn(Context, Workers.load(), asio::detached);
  asio::co_spawn(Context, tickLoop(), asio::detached);
  Callers.start();
  asio::co_spawn(Context,
                 acceptLoop(PeerAcceptor,
                            [this](tcp::socket Socket) {
                              configurePeerSocket(Socket);
                              Hub.addSession(std::make_shared<peer_session>(
                                  std::move(Socket), Home, Bodies, State));
                            }),
                 asio::detached);
  awaitSignal();
  return {};
}

std::size_t mesh_node::knownServers() const {
  std::size_t Count = 0;
  if (!State.view())
    return Count;
  for (const auto &[Service, Versions] : State.view()->Endpoints)
    for (const auto &[Version, Group] : Versions)
      Count += Group.Local.size() + Group.Remote.size();
  return Count;
}

bool mesh_node::isReady() const { return !Stopping && State.hasConfig(); }

void mesh_node::viewChanged() {
  Home.setEvacuated(State.isEvacuated());
  std::vector<home_record> Others = State.knownRecords();
  std::erase_if(Others, [this](const home_record &Record) {
    return Record.Node == Settings.Node;
  });
  Hub.setPeers(Others);
  Usage.viewChanged();
  Router.viewChanged();
  if (!State.view())
    return;
  Home.setColdStart(coldStartLimits());
  Home.setWorkspaces(State.view()->Config->workspaces());
  Callers.setIdleTimeout(State.view()->Config->callerLimits().IdleTimeout);
}

cold_start_limits mesh_node::coldStartLimits() const {
  const service_entry *Service =
      State.view()->Config->findService(Settings.Service);
  if (!Service || Service->ColdCallsPerSecond <= 0)
    return {};
  // The extra calls that are allowed are left for calls that arrive closer to
  // each other than they were sent.
  double Max = Service->ColdCallsPerSecond * Settings.ColdStartFactor;
  return {std::min(Service->ColdCallsPerSecond, Max),
          std::max(static_cast<unsigned>(Max), 1U), Service->ColdStart};
}

awaitable<void> mesh_node::tickLoop() {
  asio::steady_timer Timer(Context);
  for (;;) {
    Timer.expires_after(TickInterval);
    error_code Ignored;
    co_await Timer.async_wait(orError(Ignored));
    tick(currentTime());
  }
}

void mesh_node::tick(instant Now) {
  checkSuspension();
  checkStoreAccess(Now);
  State.tick(Now);
  Membership.tick(Now);
  Hub.tick(Now);
  Home.tick(Now);
  Usage.tick(Now);
  if (Now >= SettingsCheckedAt + SettingsCheckInterval) {
    SettingsCheckedAt = Now;
    if (Dependencies.SettingsMayHaveChanged())
      reload("the settings file changed");
  }
  Home.setDownstream(Router.downstream().refusals(Now),
                     Router.downstream().retryBudgetUsage(Now));
  Evidence.tick(Now);
  MoveExecutor.tick(Now);
}

subscription_mode mesh_node::operatorMode() const {
  if (Registrar.isWatcher())
    return subscription_mode::primary;
  return OnStandby ? subscription_mode::standby : subscription_mode::off;
}

void mesh_node::operatorDocumentsRead() {
  if (!Registrar.isWatcher())
    return;
  State.setStoreReadAt(OperatorSubscription.currentAt());
  Membership.announceStatus();
}

bool mesh_node::isConfigCurrent(instant Now) const {
  return OperatorSubscription.isCurrent(Now) ||
         Now < Membership.watcherReadAt() + watcher_reliance::MaxReadAge;
}

void mesh_node::checkStandby(instant Now) {
  instant WatcherReadAt = Membership.watcherReadAt();
  bool WasOnStandby =
      std::exchange(OnStandby, Reliance.readsStore(WatcherReadAt, Now));
  if (OnStandby == WasOnStandby || Registrar.isWatcher())
    return;
  log_event Line("standby_reading");
  Line.add("begins", OnStandby).add("config", State.configNumber());
  if (WatcherReadAt != instant())
    Line.add("watcher_read_age_ms", (Now - WatcherReadAt).count() / 1'000);
}

void mesh_node::checkStoreAccess(instant Now) {
  checkStandby(Now);
  if (!Registrar.isWatcher() || !OperatorSubscription.isCurrent(Now))
    State.setStoreReadAt(instant());
  bool CutOff = operatorMode() == subscription_mode::off
                    ? !Membership.hasUsableWatcher(Now)
                    : !OperatorSubscription.isConnected();
  State.setCutOff(CutOff);
  if (CutOff && Now >= PeersPingedAt + PeerPingInterval) {
    PeersPingedAt = Now;
    Hub.pingNextPeers();
  }
}

void mesh_node::eraRose(store_era Era) {
  // The order of the calls does not matter: each part reads what it needs again
  // and writes what it knows.
  Registrar.forgetStore();
  MoveExecutor.forgetStore(Era);
  OperatorSubscription.restart();
  MeshSubscription.restart();
  Workers.storeRestored();
}

void mesh_node::checkSuspension() {
  microseconds NewlySuspended = Suspension.takeNew();
  if (NewlySuspended < MinSuspension)
    return;
  log_event("suspended").add("for_ms", NewlySuspended.count() / 1'000);
  OperatorSubscription.refresh();
  MeshSubscription.refresh();
}

void mesh_node::awaitSignal() {
  Signals.async_wait([this](error_code Code, int Number) {
    if (Code)
      return;
    if (Number == SIGHUP)
      reload("SIGHUP");
    else
      beginStop();
    awaitSignal();
  });
}

void mesh_node::reload(std::string_view Why) {
  checked<mesh_settings> Read = Dependencies.ReadSettings();
  if (!Read) {
    log_event("settings_refused")
        .add("why", Why)
        .add("error", Read.error().front().text());
    return;
  }
  // Addresses and node names stay for the life of the process; the rest may
  // change.
  Settings.Service = Read->Service;
  Settings.ReportInterval = Read->ReportInterval;
  Settings.Grace = Read->Grace;
  Settings.RetryBudget = Read->RetryBudget;
  Settings.Domains = Read->Domains;
  log_event("settings_reloaded")
      .add("why", Why)
      .add("service", Settings.Service);
}

std::string mesh_node::metricsText() {
  home_load Load = Home.load();
  Metrics.set("home_running", Load.Running);
  Metrics.set("home_waiting", Load.Waiting);
  Metrics.set("home_limit", Load.Limit);
  Metrics.set("open_calls", static_cast<double>(Router.openCalls()));
  Metrics.set("open_sessions", static_cast<double>(Callers.openSessions()));
  Metrics.set("is_watcher", Registrar.isWatcher() ? 1 : 0);
  Metrics.set("on_standby", OnStandby ? 1 : 0);
  Metrics.set("is_evacuated", State.isEvacuated() ? 1 : 0);
  instant Now = currentTime();
  auto AgeOf = [&](instant ReadAt) {
    return ReadAt == instant()
               ? -1.0
               : std::chrono::duration<double>(Now - ReadAt).count();
  };
  Metrics.set("store_read_age_seconds",
              AgeOf(OperatorSubscription.currentAt()));
  Metrics.set("watcher_read_age_seconds", AgeOf(Membership.watcherReadAt()));
  Metrics.set("subscribers", static_cast<double>(Hub.subscribers()));
  Metrics.set("open_links", static_cast<double>(Hub.openLinks()));
  Metrics.set("config_number",
              static_cast<double>(State.configNumber().value()));
  Metrics.set("worker_connections_opened",
              static_cast<double>(Home.connectionsOpened()));
  Metrics.set("calls_beyond_share",
              static_cast<double>(Home.callsBeyondShares()));
  Metrics.set("server_cold", Home.isServerCold() ? 1 : 0);
  Home.notices().updateMetrics(Metrics, Now);
  Router.updateMetrics();
  Metrics.set("log_lines_dropped",
              static_cast<double>(log_writer::instance().dropped()));
  return Metrics.text();
}

} // namespace chivebeam
