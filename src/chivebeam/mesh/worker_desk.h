#pragma once

#include "mesh/home_runner.h"
#include "mesh/mesh_state.h"
#include "mesh/node_registrar.h"
#include "mesh/peer_hub.h"
#include "mesh/worker_dialect.h"
#include "net/http_service.h"

namespace chivebeam {

/// Takes the reports of the backend server beside this node and tells everyone
/// what changed. A word that it leaves is acknowledged after no more calls are
/// passed to it. Runs on one io_context; not thread safe.
class worker_desk {
public:
  /// \pre everything outlives the desk.
  worker_desk(asio::io_context &Context, const mesh_settings &Settings,
              const worker_dialect &Dialect, home_runner &Home,
              mesh_state &State, peer_hub &Hub, node_registrar &Registrar);

  result<address> listen();
  /// Takes over what the store holds from an earlier process of this node.
  void restore(const home_record &Stored);
  void restoreLeaving(const home_record &Stored);
  /// The node itself is about to stop. Its record stays until its lease ends:
  /// the next process beside this backend server goes on from it.
  void leave();

private:
  awaitable<http_response> handle(const http_request &Request);
  bool isKnownService(const service_name &Name) const;
  /// Makes what was reported known everywhere.
  void announce();

  const mesh_settings &Settings;
  const worker_dialect &Dialect;
  home_runner &Home;
  mesh_state &State;
  peer_hub &Hub;
  node_registrar &Registrar;
  worker_report_filter Reports;
  http_service Service;
  bool NodeLeaving = false;
};

} // namespace chivebeam
