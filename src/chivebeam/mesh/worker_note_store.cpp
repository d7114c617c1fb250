#include "mesh/worker_note_store.h"

#include "mesh/one_shot.h"
#include "net/clock.h"

namespace chivebeam {

namespace {

/// The backend server waits one second for the acknowledgement that it may
/// leave.
constexpr milliseconds SaveTimeout{400};
/// Without an answer of the store for this time, the node goes by what other
/// nodes know.
constexpr milliseconds LoadTimeout{2'000};
constexpr milliseconds LoadRetryInterval{150};

awaitable<void> commitRecord(config_store &Store, std::string Key,
                             std::string Text, one_shot<bool> Done) {
  store_transaction Change;
  Change.Puts.push_back({std::move(Key), std::move(Text), lease_id()});
  result<transaction_answer> Answer = co_await Store.commit(std::move(Change));
  Done.set(Answer && Answer->Succeeded);
}

} // namespace

awaitable<bool> worker_note_store::saveLeaving(const home_record &Record) {
  // A write of saveStarted that is on its way does not hold any more.
  Revision.reset();
  auto Executor = co_await asio::this_coro::executor;
  one_shot<bool> Done(Executor);
  asio::co_spawn(Executor,
                 commitRecord(Store, mesh_keys::worker(Settings.Node),
                              writeHomeRecord(Record, currentTime()), Done),
                 asio::detached);
  std::optional<bool> Stored = co_await Done.wait(SaveTimeout);
  co_return Stored.value_or(false);
}

awaitable<void> worker_note_store::saveStarted(home_record Record) {
  if (!Revision)
    co_return;
  store_transaction Change;
  Change.Conditions.push_back({mesh_keys::worker(Settings.Node), *Revision});
  Change.Puts.push_back({mesh_keys::worker(Settings.Node),
                         writeHomeRecord(Record, currentTime()), lease_id()});
  Revision.reset();
  result<transaction_answer> Answer = co_await Store.commit(std::move(Change));
  if (Answer && Answer->Succeeded)
    Revision = Answer->Revision;
}

awaitable<result<std::optional<home_record>>> worker_note_store::load() {
  instant GiveUpAt = currentTime() + LoadTimeout;
  for (;;) {
    result<range_answer> Answer =
        co_await Store.range(mesh_keys::worker(Settings.Node), false);
    if (Answer && Answer->Entries.empty()) {
      assumeNone();
      co_return std::optional<home_record>();
    }
    if (Answer) {
      Revision = Answer->Entries.front().ModifiedAt;
      result<home_record> Record =
          readHomeRecord(Answer->Entries.front().Value, currentTime());
      if (!Record)
        co_return tl::unexpected(Record.error());
      co_return std::optional<home_record>(std::move(*Record));
    }
    if (currentTime() >= GiveUpAt)
      co_return tl::unexpected(Answer.error());
    co_await sleepFor(LoadRetryInterval);
  }
}

} // namespace chivebeam
