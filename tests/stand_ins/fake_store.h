#pragma once

#include <set>

#include "stand_ins/memory_store.h"
#include "stand_ins/virtual_clock.h"

namespace chivebeam::stand_ins {

/// The store service of one test, in memory and in virtual time, with switches
/// for its faults. fake_store objects are its clients.
class fake_platform {
public:
  /// \pre Time outlives the platform.
  explicit fake_platform(virtual_time &Time) : Time(Time) {}

  memory_store &data() { return Data; }
  virtual_time &time() { return Time; }

  /// Writes directly, unaffected by the fault switches.
  void put(const std::string &Key, const std::string &Value);
  std::string read(const std::string &Key) const;
  std::vector<std::string> keysUnder(const std::string &Prefix) const;
  /// Replaces the data by an older copy, like a restore from a backup.
  void restore(const memory_store &Copy);
  /// Drops the history of changes and ends open watches.
  void compact();
  void breakWatches();
  void lapseLeases();
  /// Wakes open watches so that they check for changes.
  void notify();

  bool Down = false;        ///< calls fail; nothing takes effect
  microseconds Latency{0};  ///< until a call takes effect
  unsigned LoseAnswers = 0; ///< commits that take effect unanswered
  unsigned FailWatches = 0; ///< number of watches to refuse
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;

private:
  friend class fake_store;

  virtual_time &Time;
  memory_store Data;
  store_revision CompactedAt;
  std::uint64_t WatchEpoch = 0; ///< incremented to end every open watch
  std::set<asio::steady_timer *> WatchTimers;
};

/// One client of a fake_platform. A call that takes longer than the deadline
/// fails with unknown_effect at the deadline; a commit still takes effect
/// later.
class fake_store : public config_store {
public:
  /// \pre Platform outlives the store.
  fake_store(fake_platform &Platform, microseconds Deadline)
      : Platform(Platform), Deadline(Deadline) {}

  awaitable<result<range_answer>> range(std::string Key,
                                        bool IsPrefix) override;
  awaitable<result<range_answer>> page(std::string Prefix, std::string After,
                                       unsigned Limit) override;
  awaitable<result<transaction_answer>>
  commit(store_transaction Transaction) override;
  awaitable<result<lease_id>> grantLease(seconds TimeToLive) override;
  awaitable<result<bool>> keepLease(lease_id Lease) override;
  awaitable<result<void>> revokeLease(lease_id Lease) override;
  awaitable<error> watch(std::string Prefix, store_revision From,
                         watch_handler Handler) override;
  void cancelWatch() override;

private:
  /// Waits for the latency; returns the error to answer with, if any.
  awaitable<std::optional<error>> simulateNetwork();
  /// Applies a commit whose caller has already timed out.
  awaitable<void> commitAfterLatency(store_transaction Transaction);

  fake_platform &Platform;
  microseconds Deadline;
  std::shared_ptr<asio::steady_timer> WatchTimer;
  bool WatchCancelled = false;
};

} // namespace chivebeam::stand_ins
