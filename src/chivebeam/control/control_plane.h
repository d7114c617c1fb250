#pragma once

#include <functional>

#include "claims/claim_request_handler.h"
#include "config/config_holder.h"
#include "control/config_distributor.h"
#include "control/gossip_transport.h"
#include "control/move_participant.h"
#include "control/worker_registry.h"
#include "data/data_messages.h"
#include "membership/membership.h"
#include "net/http_service.h"
#include "node/node_settings.h"
#include "store/store_messages.h"
#include "telemetry/call_metrics.h"
#include "wire/node_messages.h"

namespace chivebeam {

/// Takes part in the fleet's membership, configuration and moves. It passes
/// incoming messages to the core library and sends the messages and commands
/// that the core returns. Runs on the io_context of the control event loop; not
/// thread safe.
class control_plane {
public:
  struct outputs {
    std::function<void(data_command)> ToData;
    std::function<void(store_command)> ToStore;
    claim_request_handler::command_sink ToClaims;
    std::function<void()> Stopped;
  };

  /// \pre Context, Settings, Views and Decider outlive the control plane.
  control_plane(asio::io_context &Context, const node_settings &Settings,
                atomic_fleet_view &Views, const move_decider &Decider,
                outputs Outputs);

  /// Binds the peer and control addresses and starts. RelayPort is the port on
  /// which the data plane accepts calls from other nodes.
  result<void> start(std::uint16_t RelayPort);
  void handleStore(store_event Event);
  void handleData(data_event Event);
  void handleClaims(const claim_reply &Reply) { Claims.handleReply(Reply); }
  /// Begins a graceful shutdown.
  void beginStop();

  const address &peerAddress() const { return Peer; }
  const address &controlAddress() const { return Control; }

private:
  void onApplied(const config_source &Source);
  void onVerdict(const move_progress &Progress);
  awaitable<void> tickLoop();
  void onDatagram(const datagram_content &Content, const address &From);
  void tick(instant Now);
  void startMoves(incarnation Incarnation);
  void logNodeIdConflict(instant Now);
  void updateReadiness(instant Now);
  void workerChanged(instant Now);
  void publishView();
  void fireNodeEvent(std::string_view Event);
  awaitable<http_response> handlePeer(const http_request &Request);
  awaitable<http_response> handleControl(const http_request &Request);
  http_response metricsResponse() const;
  http_response handleAnnounce(const std::string &Body);
  std::string statusJson() const;
  awaitable<std::string> fleetJson() const;

  asio::io_context &Context;
  const node_settings &Settings;
  atomic_fleet_view &Views;
  outputs Outputs;
  gossip_transport Transport;
  http_service PeerService;
  http_service ControlService;
  std::unique_ptr<membership> Members;
  config_holder Config;
  call_metrics Metrics;
  config_distributor Distributor;
  worker_registry Worker;
  const move_decider &Decider;
  std::unique_ptr<move_participant> Moves;
  claim_request_handler Claims;
  std::string NodeState;
  address Peer;
  address Control;
  address Traffic;
  instant NextFleetSizeReport;
  instant DrainEnds;
  bool StoreUp = false;
  bool ViewOutdated = true;
  bool HasNodeIdConflict = false;
  std::uint64_t ViewRevision = 0;
};

} // namespace chivebeam
