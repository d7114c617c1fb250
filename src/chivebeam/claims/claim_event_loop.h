#pragma once

#include <functional>

#include "claims/claim_log_store.h"
#include "claims/claim_messages.h"

namespace chivebeam {

/// Event loop of the claim logs that this node owns: runs the store calls that
/// claim_shard decides on. A node has one service, so it owns at most one log,
/// or two while its backend server is replaced by one of another service. Runs
/// on the store thread's io_context.
class claim_event_loop {
public:
  using reply_sink = std::function<void(claim_reply)>;

  /// \pre Context and Store outlive the event loop; nothing else uses Store.
  claim_event_loop(asio::io_context &Context, config_store &Store,
                   fleet_name Fleet, std::uint64_t Seed, reply_sink Sink);

  void start();
  void handle(claim_command Command);

private:
  struct owned_log {
    claim_shard Shard;
    claim_log_store Log;
    std::uint64_t Ownership = 0;
  };

  awaitable<void> run();
  /// Runs the store calls that are due; returns when to call it again.
  awaitable<instant> runDueSteps(owned_log &Owned);
  awaitable<void> runStep(owned_log &Owned, const log_step &Step);
  owned_log &logOf(const service_name &Service);
  void deliverReplies(owned_log &Owned);

  asio::io_context &Context;
  config_store &Store;
  fleet_name Fleet;
  std::uint64_t Seed;
  reply_sink Sink;
  asio::steady_timer Wake;
  bool WakeRequested = false;
  std::map<service_name, owned_log> Logs;
};

} // namespace chivebeam
