#pragma once

#include <boost/asio/signal_set.hpp>

#include "membership/watcher_reliance.h"
#include "mesh/caller_listener.h"
#include "mesh/evidence_reporter.h"
#include "mesh/peer_session.h"
#include "mesh/store_listeners.h"
#include "mesh/usage_limiter.h"
#include "mesh/worker_report_handler.h"
#include "net/suspension_clock.h"

namespace chivebeam {

/// The platform-specific parts of a node: protocols, document format, store and
/// settings.
struct mesh_dependencies {
  std::unique_ptr<call_protocol> Calls;
  std::unique_ptr<worker_protocol> Workers;
  std::unique_ptr<operator_document_format> DocumentFormat;
  /// Opens a client of the store; each subscription has its own.
  std::function<std::unique_ptr<config_store>(const address &)> OpenStore;
  /// Reads the settings again; on an error the current ones stay in force.
  std::function<checked<mesh_settings>()> ReadSettings;
  /// Returns whether the settings may have changed since the last call.
  std::function<bool()> SettingsMayHaveChanged;
};

/// A running node of a mesh. All parts that handle calls run on one thread;
/// only log lines are written by another. Not thread safe.
class mesh_node {
public:
  using stop_handler = std::function<void()>;

  /// \pre Context outlives the node, and the node outlives the handlers that
  /// run on Context.
  mesh_node(asio::io_context &Context, mesh_settings Settings,
            mesh_dependencies Dependencies);

  /// Binds all addresses and starts the node; the kernel chooses a port for
  /// port 0. OnStopped is called when the node has stopped.
  result<void> start(stop_handler OnStopped);
  /// Starts a graceful stop, as SIGTERM does.
  void beginStop();
  /// Returns all metrics in the Prometheus text format.
  std::string metricsText();
  const mesh_settings &settings() const { return Settings; }
  /// True if this node reads the operator's documents from the store although
  /// it is no watcher.
  bool isOnStandby() const {
    return operatorMode() == subscription_mode::standby;
  }
  bool isReady() const;
  /// True if this node watches the store for others.
  bool isWatcher() const { return Registrar.isWatcher(); }
  config_number configNumber() const { return State.configNumber(); }
  /// Returns the number of backend servers that calls may be routed to.
  std::size_t knownServers() const;

private:
  result<void> listen();
  awaitable<void> tickLoop();
  void tick(instant Now);
  void checkSuspension();
  /// Called when the store came back from an older copy.
  void eraRose(store_era Era);
  /// Returns how this node reads the operator's documents from the store.
  subscription_mode operatorMode() const;
  /// Called after each answer of the store that shows that all of the
  /// operator's documents were read.
  void operatorDocumentsRead();
  /// True if no configuration that was stored a while ago can be missing here.
  bool isConfigCurrent(instant Now) const;
  /// Decides whether this node reads the store although it is no watcher.
  void checkStandby(instant Now);
  /// Updates what depends on whether this node or a watcher reads the store.
  void checkStoreAccess(instant Now);
  void viewChanged();
  /// Returns what the backend server beside this node takes while it is cold.
  /// \pre there is a configuration.
  cold_start_limits coldStartLimits() const;
  void awaitSignal();
  void reload(std::string_view Why);
  awaitable<void> stop(stop_schedule Schedule);
  /// Answers the calls that are still open; waits until their answers are sent.
  awaitable<void> endOpenCalls(instant AnswerDeadline);
  /// True while calls run, or requests or answers are not transferred
  /// completely.
  bool hasWork() const;

  mesh_settings Settings;
  mesh_dependencies Dependencies;
  asio::io_context &Context;
  asio::signal_set Signals;
  mesh_metrics Metrics;
  body_memory Bodies;
  mesh_state State;
  home_runner Home;
  peer_hub Hub;
  usage_limiter Usage;
  entry_router Router;
  std::unique_ptr<config_store> OperatorStore;
  std::unique_ptr<config_store> MeshStore;
  std::unique_ptr<config_store> RequestStore;
  mesh_membership Membership;
  watcher_registrar Registrar;
  worker_report_handler Workers;
  move_executor MoveExecutor;
  evidence_reporter Evidence;
  operator_listener OperatorListener;
  mesh_listener MeshListener;
  store_subscription OperatorSubscription;
  store_subscription MeshSubscription;
  watcher_reliance Reliance;
  bool OnStandby = false;
  caller_listener Callers;
  tcp::acceptor PeerAcceptor;
  http_service Readiness;
  http_service MetricsService;
  instant PeersPingedAt;
  instant SettingsCheckedAt;
  suspension_clock Suspension;
  stop_handler OnStopped;
  bool Stopping = false;
};

} // namespace chivebeam
