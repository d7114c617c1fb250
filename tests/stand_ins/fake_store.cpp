#include "stand_ins/fake_store.h"

#include "store/gateway_json.h"

namespace chivebeam::stand_ins {

namespace {

error failure(error_kind Kind, std::string Message) {
  return {Kind, "fake store", std::move(Message), "switch the fault off"};
}

} // namespace

void fake_platform::put(const std::string &Key, const std::string &Value) {
  store_transaction Transaction;
  Transaction.Puts.push_back({Key, Value, lease_id()});
  Data.commit(Transaction);
  notify();
}

std::string fake_platform::read(const std::string &Key) const {
  range_answer Found = Data.range(Key, "");
  return Found.Entries.empty() ? "" : Found.Entries.front().Value;
}

std::vector<std::string>
fake_platform::keysUnder(const std::string &Prefix) const {
  std::vector<std::string> Keys;
  for (const store_entry &Entry : Data.range(Prefix, prefixEnd(Prefix)).Entries)
    Keys.push_back(Entry.Key);
  return Keys;
}

void fake_platform::notify() {
  for (asio::steady_timer *Timer : WatchTimers)
    Timer->cancel();
}

void fake_platform::breakWatches() {
  ++WatchEpoch;
  notify();
}

void fake_platform::restore(const memory_store &Copy) {
  Data = Copy;
  notify();
}

void fake_platform::compact() {
  CompactedAt = Data.revision();
  breakWatches();
}

void fake_platform::lapseLeases() {
  Data.lapseAll();
  notify();
}

awaitable<std::optional<error>> fake_store::simulateNetwork() {
  if (Platform.Latency > Deadline) {
    co_await Platform.Time.sleep(Deadline, Platform.Time.makeTimer());
    co_return failure(error_kind::unknown_effect, "the deadline passed");
  }
  if (Platform.Latency > microseconds(0))
    co_await Platform.Time.sleep(Platform.Latency, Platform.Time.makeTimer());
  if (Platform.Down)
    co_return failure(error_kind::unavailable, "the store is down");
  Platform.Data.expire(Platform.Time.now());
  co_return std::nullopt;
}

awaitable<result<range_answer>> fake_store::range(std::string Key,
                                                  bool IsPrefix) {
  ++Platform.Reads;
  if (std::optional<error> Fault = co_await simulateNetwork())
    co_return tl::unexpected(*Fault);
  co_return Platform.Data.range(Key, IsPrefix ? prefixEnd(Key) : "");
}

awaitable<result<range_answer>>
fake_store::page(std::string Prefix, std::string After, unsigned Limit) {
  ++Platform.Reads;
  if (std::optional<error> Fault = co_await simulateNetwork())
    co_return tl::unexpected(*Fault);
  co_return Platform.Data.range(std::max(Prefix, keyAfter(After)),
                                prefixEnd(Prefix), Limit);
}

awaitable<void> fake_store::commitAfterLatency(store_transaction Transaction) {
  co_await Platform.Time.sleep(Platform.Latency, Platform.Time.makeTimer());
  Platform.Data.commit(Transaction);
  Platform.notify();
}

awaitable<result<transaction_answer>>
fake_store::commit(store_transaction Transaction) {
  ++Platform.Writes;
  if (Platform.Latency > Deadline && !Platform.Down)
    asio::co_spawn(co_await asio::this_coro::executor,
                   commitAfterLatency(Transaction), asio::detached);
  if (std::optional<error> Fault = co_await simulateNetwork())
    co_return tl::unexpected(*Fault);
  transaction_answer Answer = Platform.Data.commit(Transaction);
  Platform.notify();
  if (Platform.LoseAnswers > 0) {
    --Platform.LoseAnswers;
    co_return tl::unexpected(
        failure(error_kind::unknown_effect, "the answer was lost"));
  }
  co_return Answer;
}

awaitable<result<lease_id>> fake_store::grantLease(seconds TimeToLive) {
  ++Platform.Writes;
  if (std::optional<error> Fault = co_await simulateNetwork())
    co_return tl::unexpected(*Fault);
  co_return Platform.Data.grant(TimeToLive, Platform.Time.now());
}

awaitable<result<bool>> fake_store::keepLease(lease_id Lease) {
  ++Platform.Writes;
  if (std::optional<error> Fault = co_await simulateNetwork())
    co_return tl::unexpected(*Fault);
  co_return Platform.Data.keep(Lease, Platform.Time.now()) > seconds(0);
}

awaitable<result<void>> fake_store::revokeLease(lease_id Lease) {
  ++Platform.Writes;
  if (std::optional<error> Fault = co_await simulateNetwork())
    co_return tl::unexpected(*Fault);
  Platform.Data.revoke(Lease);
  Platform.notify();
  co_return result<void>();
}

awaitable<error> fake_store::watch(std::string Prefix, store_revision From,
                                   watch_handler Handler) {
  ++Platform.Watches;
  if (std::optional<error> Fault = co_await simulateNetwork())
    co_return *Fault;
  if (Platform.FailWatches > 0) {
    --Platform.FailWatches;
    co_return failure(error_kind::unavailable, "the watch was refused");
  }
  if (From <= Platform.CompactedAt)
    co_return failure(error_kind::not_found, "the revision was compacted");
  WatchCancelled = false;
  std::uint64_t Epoch = Platform.WatchEpoch;
  WatchTimer = Platform.Time.makeTimer();
  Platform.WatchTimers.insert(WatchTimer.get());
  while (!WatchCancelled && Epoch == Platform.WatchEpoch && !Platform.Down) {
    std::vector<watch_event> Events;
    for (const memory_store::change &Change :
         Platform.Data.changesSince(Prefix, prefixEnd(Prefix), From)) {
      Events.push_back(Change.Event);
      From = Change.Revision.next();
    }
    if (!Events.empty())
      Handler(store_revision(From.value() - 1), Events);
    error_code Ignored;
    co_await WatchTimer->async_wait(orError(Ignored));
  }
  Platform.WatchTimers.erase(WatchTimer.get());
  WatchTimer.reset();
  co_return failure(error_kind::unavailable, "the watch ended");
}

void fake_store::cancelWatch() {
  WatchCancelled = true;
  if (WatchTimer)
    WatchTimer->cancel();
}

} // namespace chivebeam::stand_ins
