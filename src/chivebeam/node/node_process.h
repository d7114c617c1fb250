#pragma once

#include <memory>
#include <thread>
#include <vector>

#include "claims/claim_event_loop.h"
#include "control/control_plane.h"
#include "data/data_plane.h"
#include "net/mailbox.h"
#include "store/gateway_store.h"
#include "store/store_event_loop.h"

namespace chivebeam {

/// A running node: one thread with an event loop each for control, data and
/// store, connected by bounded queues. The telemetry thread writes the log.
class node_process {
public:
  explicit node_process(node_settings Settings);

  /// Binds all addresses and starts the threads.
  result<void> start();
  /// Waits until the node has stopped after SIGTERM or SIGINT.
  void wait();

private:
  void connectQueues();
  void startClaims();
  void runEventLoop(asio::io_context &Context);
  void stopAll();

  node_settings Settings;
  asio::io_context ControlContext{1};
  asio::io_context DataContext{1};
  asio::io_context StoreContext{1};
  std::unique_ptr<move_evaluator> Evaluator;
  move_decider Decider;
  atomic_fleet_view Views;
  mailbox<data_command> DataCommands;
  mailbox<data_event> DataEvents;
  mailbox<store_command> StoreCommands;
  mailbox<store_event> StoreEvents;
  mailbox<claim_command> ClaimCommands;
  mailbox<claim_reply> ClaimReplies;
  gateway_store SessionStore;
  gateway_store CommitStore;
  gateway_store ClaimStore;
  std::unique_ptr<control_plane> Control;
  std::unique_ptr<data_plane> Data;
  std::unique_ptr<store_event_loop> Store;
  std::unique_ptr<claim_event_loop> Claims;
  std::vector<std::thread> Threads;
};

} // namespace chivebeam
