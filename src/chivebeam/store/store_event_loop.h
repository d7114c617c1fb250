#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "charts/embedded_charts.h"
#include "config/store_rate_limiter.h"
#include "config/watcher_lease.h"
#include "net/event_loop_clock.h"
#include "store/config_store.h"
#include "store/rate_limited_store.h"
#include "store/store_keys.h"
#include "store/store_messages.h"
#include "store/store_records.h"

namespace chivebeam {

/// Identity of a node that its store client uses.
struct store_identity {
  fleet_name Fleet;
  node_id Node;
  failure_domain Domain;
  address Peer;
};

/// Event loop of the platform's store: reads the newest configuration at the
/// start, acquires one of the few watcher leases of its failure domain if one
/// is free, and then renews the lease and watches the store. Nodes without a
/// watcher lease poll at a rate that falls as the fleet grows. The node's call
/// budget limits every call. Runs on its own thread's io_context.
class store_event_loop {
public:
  using event_sink = std::function<void(store_event)>;

  /// \pre Context, Session and Commits outlive the event loop. Session and
  /// Commits are two clients of the same store, so that recording a verdict
  /// never waits for a watch. Without a Clock, the system clock is used.
  store_event_loop(asio::io_context &Context, config_store &Session,
                   config_store &Commits, store_identity Identity,
                   event_sink Sink,
                   std::unique_ptr<event_loop_clock> Clock = nullptr);

  void start();
  void handle(store_command Command);

private:
  /// A watch that runs concurrently with runWatcher.
  struct running_watch {
    bool Ended = false;
    bool Compacted = false;
    bool RetryPlanned = false; ///< runWatcher has scheduled the retry
  };

  void queueVerdict(record_verdict Request);
  awaitable<void> sessionLoop();
  awaitable<bool> refresh();
  void updateWatchers(const range_answer &State);
  awaitable<bool> applyHead(const range_answer &State);
  awaitable<bool> fetchSource(const head_record &Head);
  awaitable<void> restoreSource(store_revision SeenAt,
                                config_number StoreNumber);
  awaitable<bool> readVerdicts();
  awaitable<void> acquireWatcherLease();
  awaitable<bool> createWatcherRecord(lease_id Lease, unsigned Index);
  awaitable<void> runWatcher();
  awaitable<bool> renewWatcherLease();
  awaitable<void> applyUpdates();
  void retryLater();
  void restartEndedWatch();
  microseconds untilNextStep(instant NextKeepAlive) const;
  void startWatch();
  awaitable<void> runWatch(std::shared_ptr<running_watch> Watch);
  awaitable<void> stopWatch();
  void handleWatcherEvent(const watch_event &Event);
  void onWatchEvents(store_revision Revision,
                     const std::vector<watch_event> &Events);
  void endWatcherLease();
  std::string ownWatcherRecord() const;
  awaitable<void> recordVerdicts();
  awaitable<void> reportVerdict(const move_id &Move);
  void recordCallResult(bool Answered);
  /// Applies an event to the state chart "store_session" and runs its actions.
  void fireEvent(std::string_view Event);
  void runAction(std::string_view Action);
  void reportSession(bool Up);

  asio::io_context &Context;
  store_identity Identity;
  store_keys Keys;
  event_sink Sink;
  std::unique_ptr<event_loop_clock> Clock;
  random_source Random;
  store_rate_limiter RateLimiter;
  rate_limited_store Session;
  rate_limited_store Commits;
  fleet_size Fleet;
  config_source AppliedSource;   ///< applied on this node
  config_number DeliveredNumber; ///< highest given to the control thread
  store_revision LastRevision;
  std::vector<unsigned> FreeLeaseIndexes; ///< indexes in this failure domain
  lease_id WatcherLeaseId;
  std::string WatcherLeaseKey; ///< empty without a watcher lease
  watcher_lease Lease;
  std::shared_ptr<running_watch> Watch;
  std::optional<head_record> NewHead; ///< from the watch; source not read yet
  bool StateStale = false; ///< head and watcher records must be read again
  instant RetryAt; ///< of a failed refresh or watch while the lease is held
  std::string State = shippedChart("store_session").initial();
  std::vector<record_verdict> VerdictQueue;
  bool RecordingVerdicts = false;
};

} // namespace chivebeam
