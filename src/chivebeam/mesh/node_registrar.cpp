#include "mesh/node_registrar.h"

#include <algorithm>

#include "mesh/one_shot.h"
#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// Time after which the record of a dead node expires. Calls to the node fail
/// over much sooner.
constexpr seconds LeaseDuration{4};
/// Allows nearly three renewals within one lease.
constexpr milliseconds LeaseRenewInterval{1'400};
constexpr milliseconds RetryInterval{150};
/// The backend server waits one second for the acknowledgement that it may
/// leave.
constexpr milliseconds LeavingWriteTimeout{400};

} // namespace

node_registrar::node_registrar(asio::io_context &Context,
                               config_store &NodeStore,
                               const mesh_settings &MeshSettings)
    : Store(NodeStore), Settings(MeshSettings), WakeTimer(Context) {}

void node_registrar::publish(const home_record &Record) {
  PublishedRecord = Record;
  Dirty = true;
  WakeTimer.cancel();
}

void node_registrar::entryFound(store_revision Stored) {
  if (!Writing)
    Revision = std::max(Revision, Stored);
}

void node_registrar::entryMissing(store_revision AsOf) {
  // A listing may be older than the last write.
  if (Writing || Revision.value() == 0 || AsOf < Revision)
    return;
  Revision = store_revision();
  Dirty = true;
  WakeTimer.cancel();
}

awaitable<bool> node_registrar::ensureLease() {
  if (Lease.value() != 0)
    co_return true;
  result<lease_id> Granted = co_await Store.grantLease(LeaseDuration);
  if (!Granted)
    co_return false;
  Lease = *Granted;
  LeaseRenewedAt = currentTime();
  Dirty = true;
  co_return true;
}

awaitable<void> node_registrar::readBack() {
  result<range_answer> Answer =
      co_await Store.range(mesh_keys::home(Settings.Node), false);
  if (!Answer)
    co_return;
  Revision = Answer->Entries.empty() ? store_revision()
                                     : Answer->Entries.front().ModifiedAt;
}

awaitable<void> node_registrar::write() {
  Dirty = false;
  Writing = true;
  std::string Key = mesh_keys::home(Settings.Node);
  store_transaction Change;
  Change.Conditions.push_back({Key, Revision});
  Change.Puts.push_back(
      {Key, writeHomeRecord(PublishedRecord, currentTime()), Lease});
  result<transaction_answer> Answer = co_await Store.commit(std::move(Change));
  if (Answer && Answer->Succeeded) {
    Revision = Answer->Revision;
    Writing = false;
    co_return;
  }
  Dirty = true;
  // A key can't be written under an expired lease; a new lease is requested.
  if (!Answer && Answer.error().Kind == error_kind::not_found)
    Lease = lease_id();
  else
    co_await readBack();
  Writing = false;
}

awaitable<void> node_registrar::keepLease() {
  if (currentTime() < LeaseRenewedAt + LeaseRenewInterval)
    co_return;
  instant RequestedAt = currentTime();
  result<bool> Renewed = co_await Store.keepLease(Lease);
  if (!Renewed)
    co_return;
  LeaseRenewedAt = RequestedAt;
  if (*Renewed)
    co_return;
  log_event("lease_lapsed").add("lease", Lease);
  Lease = lease_id();
  Revision = store_revision();
}

awaitable<void> node_registrar::run() {
  for (;;) {
    bool Leased = co_await ensureLease();
    if (Leased && Dirty)
      co_await write();
    if (Leased && Lease.value() != 0)
      co_await keepLease();
    bool Retry = Lease.value() == 0 || Dirty;
    WakeTimer.expires_after(Retry ? RetryInterval : LeaseRenewInterval);
    error_code Ignored;
    co_await WakeTimer.async_wait(orError(Ignored));
  }
}

awaitable<bool> node_registrar::persistLeaving(const home_record &Record) {
  auto Executor = co_await asio::this_coro::executor;
  one_shot<bool> Done(Executor);
  auto Write = [](config_store &Store, std::string Key, std::string Text,
                  one_shot<bool> Done) -> awaitable<void> {
    store_transaction Change;
    Change.Puts.push_back({std::move(Key), std::move(Text), lease_id()});
    result<transaction_answer> Answer =
        co_await Store.commit(std::move(Change));
    Done.set(Answer && Answer->Succeeded);
  };
  asio::co_spawn(Executor,
                 Write(Store, mesh_keys::leaving(Settings.Node),
                       writeHomeRecord(Record, currentTime()), Done),
                 asio::detached);
  std::optional<bool> Stored = co_await Done.wait(LeavingWriteTimeout);
  co_return Stored.value_or(false);
}

} // namespace chivebeam
