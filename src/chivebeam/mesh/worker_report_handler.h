#pragma once

#include "mesh/home_runner.h"
#include "mesh/mesh_state.h"
#include "mesh/node_registrar.h"
#include "mesh/peer_hub.h"
#include "mesh/worker_protocol.h"
#include "net/http_service.h"

namespace chivebeam {

/// Handles the reports of the backend server beside this node and publishes
/// changes to the store and to other nodes. A deregistration is acknowledged
/// only when no more calls are passed to the backend server. Runs on one
/// io_context; not thread safe.
class worker_report_handler {
public:
  /// \pre all arguments outlive the handler.
  worker_report_handler(asio::io_context &Context,
                        const mesh_settings &Settings,
                        const worker_protocol &Protocol, home_runner &Home,
                        mesh_state &State, peer_hub &Hub,
                        node_registrar &Registrar);

  result<address> listen();
  /// Restores the record that an earlier process of this node stored.
  void restore(const home_record &Stored);
  void restoreLeaving(const home_record &Stored);
  /// Publishes that the node itself is about to stop. Its record stays until
  /// its lease ends, so that the next process beside this backend server
  /// continues from it.
  void leave();

private:
  awaitable<http_response> handle(const http_request &Request);
  bool isKnownService(const service_name &Name) const;
  /// Publishes the own record to the home runner, the store and all peers.
  void announce();

  const mesh_settings &Settings;
  const worker_protocol &Protocol;
  home_runner &Home;
  mesh_state &State;
  peer_hub &Hub;
  node_registrar &Registrar;
  worker_report_filter Reports;
  http_service Service;
  bool NodeLeaving = false;
};

} // namespace chivebeam
