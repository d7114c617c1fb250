#pragma once

#include "mesh/home_runner.h"
#include "mesh/mesh_state.h"
#include "mesh/worker_note_store.h"
#include "mesh/worker_protocol.h"
#include "net/http_service.h"

namespace chivebeam {

/// Handles the reports of the backend server beside this node and publishes
/// changes to other nodes. A deregistration is acknowledged only when no more
/// calls are passed to the backend server. If the store can't note it then, the
/// note is written as soon as the store takes it. A process that replaces an
/// earlier one takes no reports before it knows whether the backend server
/// leaves. Runs on one io_context; not thread safe.
class worker_report_handler {
public:
  /// \pre all arguments outlive the handler.
  worker_report_handler(asio::io_context &Context,
                        const mesh_settings &Settings,
                        const worker_protocol &Protocol, home_runner &Home,
                        mesh_state &State, config_store &Store);

  result<address> listen();
  /// Reads from the store whether the backend server leaves.
  awaitable<void> load();
  /// Called when the store may have lost what it confirmed. Stores again that
  /// the backend server leaves, if it does.
  void storeRestored();
  /// True while the store has not confirmed that the backend server leaves. Its
  /// leave was acknowledged, so no later process of the node may use it.
  bool owesLeavingNote() const;
  /// Applies a copy of this node's record that an earlier process published, or
  /// refutes that this node is gone.
  void restore(const home_record &Copy);
  /// Publishes that the node itself is about to stop. Its record stays until
  /// its lease ends, so that the next process beside this backend server
  /// continues from it.
  void leave();

private:
  awaitable<http_response> handle(const http_request &Request);
  /// Waits until load has ended, for as long as the answer to a report may
  /// take.
  awaitable<bool> waitUntilLoaded();
  bool isKnownService(const service_name &Name) const;
  void restoreLeaving(const home_record &Stored);
  /// Called when the backend server says in an answer that it leaves.
  void serverLeaves(const worker_start &Start);
  /// Publishes the own record to the home runner and the other nodes.
  void announce();
  /// Writes once to the store that the backend server leaves; returns whether
  /// the store has confirmed it. \pre it leaves
  awaitable<bool> noteLeaving();
  /// Writes it until the store confirms it, unless the store has done so.
  awaitable<void> storeLeaving();

  asio::io_context &Context;
  const mesh_settings &Settings;
  const worker_protocol &Protocol;
  home_runner &Home;
  mesh_state &State;
  worker_note_store Notes;
  worker_report_filter Reports;
  http_service Service;
  /// Start of the backend server that leaves by the note in the store.
  std::optional<worker_start> NotedLeaving;
  bool StoringLeaving = false;
  unsigned StoreRestores = 0; ///< counts the calls of storeRestored
  bool NodeLeaving = false;
  bool Loaded = false; ///< it is known whether the server leaves
  std::optional<home_record> EarlyCopy; ///< to restore after that
};

} // namespace chivebeam
