#include "mesh/watcher_registrar.h"

#include <charconv>

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// Time after which the slot of a dead watcher becomes free. Nodes that can't
/// use the watcher take the slot over sooner.
constexpr seconds LeaseDuration{6};
/// Allows two renewals within one lease.
constexpr milliseconds LeaseRenewInterval{2'000};
constexpr milliseconds RenewRetryInterval{400};
constexpr milliseconds StepInterval{100};
/// Links at least this fast count as fast: a watcher sends configurations to
/// many nodes. A link of unknown speed counts as fast, too.
constexpr double FastLinkBytesPerSecond = 10e6;

} // namespace

std::optional<error> listed_watchers::add(const store_entry &Entry,
                                          instant Now) {
  std::string Prefix = mesh_keys::watchers();
  std::size_t NumberAt = Entry.Key.rfind('/') + 1;
  if (!Entry.Key.starts_with(Prefix) || NumberAt <= Prefix.size())
    return std::nullopt;
  unsigned Number = 0;
  const char *End = Entry.Key.data() + Entry.Key.size();
  auto Parsed = std::from_chars(Entry.Key.data() + NumberAt, End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return error{error_kind::invalid_input, "", "the key is no slot",
                 "remove the key; it was not written by a chivebeam node"};
  failure_domain Domain(
      Entry.Key.substr(Prefix.size(), NumberAt - 1 - Prefix.size()));
  result<home_record> Record = readHomeRecord(Entry.Value, Now);
  Slots.push_back({Domain, Number, Record ? Record->Node : node_id(),
                   Entry.ModifiedAt.value()});
  if (!Record)
    return Record.error();
  Records.push_back(std::move(*Record));
  return std::nullopt;
}

watcher_registrar::watcher_registrar(asio::io_context &IoContext,
                                     config_store &SlotStore,
                                     const mesh_settings &MeshSettings,
                                     mesh_state &MeshState,
                                     mesh_membership &MeshMembership)
    : Context(IoContext), Store(SlotStore), Settings(MeshSettings),
      State(MeshState), Membership(MeshMembership),
      Election(Settings.Node, Settings.Domain,
               Settings.LinkBytesPerSecond == 0 ||
                   Settings.LinkBytesPerSecond >= FastLinkBytesPerSecond,
               Settings.FirstStart, std::hash<node_id>()(Settings.Node)) {}

awaitable<void> watcher_registrar::run() {
  for (;;) {
    instant Now = currentTime();
    if (Held && MustReclaim)
      co_await reclaim();
    else if (Held)
      co_await keepLease(Now);
    else if (!Resigned)
      co_await takePart(Now);
    co_await sleepFor(StepInterval);
  }
}

awaitable<void> watcher_registrar::takePart(instant Now) {
  election_step Step = Election.decide(Membership.usableWatchers(Now),
                                       Membership.hasUsableWatcher(Now), Now);
  if (Step.Kind == election_step::kind::list)
    co_await list();
  else if (Step.Kind == election_step::kind::claim)
    co_await claim(Step.Slot);
}

awaitable<void> watcher_registrar::list() {
  result<range_answer> Answer =
      co_await Store.staleRange(mesh_keys::watchers());
  instant Now = currentTime();
  if (!Answer)
    co_return Election.listed(std::nullopt, Now);
  listed_watchers Listed;
  for (const store_entry &Entry : Answer->Entries)
    if (std::optional<error> Problem = Listed.add(Entry, Now))
      Skipped.skip(Entry, *Problem);
  Membership.addListed(Listed.Records);
  Election.listed(std::move(Listed.Slots), Now);
}

awaitable<bool> watcher_registrar::ensureLease() {
  if (Lease.value() != 0 && currentTime() < LeaseRenewedAt + LeaseDuration / 2)
    co_return true;
  instant RequestedAt = currentTime();
  result<lease_id> Granted = co_await Store.grantLease(LeaseDuration);
  if (!Granted)
    co_return false;
  Lease = *Granted;
  LeaseRenewedAt = RequestedAt;
  co_return true;
}

awaitable<result<transaction_answer>>
watcher_registrar::writeSlot(watcher_slot Slot) {
  if (!co_await ensureLease())
    co_return tl::unexpected(error{error_kind::unavailable, "",
                                   "the store grants no lease", "none needed"});
  home_record Record = State.ownRecord();
  Record.Watches = true;
  std::string Key = mesh_keys::watcher(Slot.Domain, Slot.Number);
  store_transaction Change;
  Change.Conditions.push_back({Key, store_revision(Slot.Revision)});
  Change.Puts.push_back({Key, writeHomeRecord(Record, currentTime()), Lease});
  result<transaction_answer> Answer = co_await Store.commit(std::move(Change));
  if (!Answer && Answer.error().Kind == error_kind::not_found)
    Lease = lease_id();
  co_return Answer;
}

awaitable<void> watcher_registrar::claim(watcher_slot Slot) {
  result<transaction_answer> Answer = co_await writeSlot(Slot);
  // A claim whose answer was lost is found by the next listing.
  if (!Answer || !Answer->Succeeded)
    co_return Election.claimFailed(currentTime());
  if (Resigned)
    co_return co_await release(Lease);
  Held = Slot;
  Held->Node = Settings.Node;
  Held->Revision = Answer->Revision.value();
  log_event("watcher_role")
      .add("node", Settings.Node)
      .add("domain", Slot.Domain)
      .add("slot", Slot.Number)
      .add("revision", Held->Revision);
  State.setWatching(true);
}

awaitable<void> watcher_registrar::keepLease(instant Now) {
  if (Now < LeaseRenewedAt + LeaseRenewInterval)
    co_return;
  result<bool> Renewed = co_await Store.keepLease(Lease);
  if (!Renewed) {
    co_await sleepFor(RenewRetryInterval);
    co_return;
  }
  LeaseRenewedAt = Now;
  if (!*Renewed)
    lose("the lease has expired");
}

void watcher_registrar::lose(std::string_view Why) {
  if (!Held)
    return;
  log_event("watcher_role_lost")
      .add("node", Settings.Node)
      .add("slot", Held->Number)
      .add("why", Why);
  Held.reset();
  Lease = lease_id();
  Election.claimFailed(currentTime());
  State.setWatching(false);
}

std::optional<std::string> watcher_registrar::heldKey() const {
  if (!Held)
    return std::nullopt;
  return mesh_keys::watcher(Held->Domain, Held->Number);
}

void watcher_registrar::slotFound(const watcher_slot &Slot) {
  bool IsOwnSlot = Held && !MustReclaim && Slot.Domain == Held->Domain &&
                   Slot.Number == Held->Number;
  if (IsOwnSlot && Slot.Node != Settings.Node && Slot.Revision > Held->Revision)
    lose("another node holds the slot");
}

void watcher_registrar::slotMissing(const std::string &Key,
                                    store_revision AsOf) {
  // A listing may be older than the claim.
  if (!MustReclaim && heldKey() == Key && AsOf.value() >= Held->Revision)
    lose("the slot is missing in the store");
}

void watcher_registrar::forgetStore() {
  Lease = lease_id();
  MustReclaim = Held.has_value();
}

awaitable<void> watcher_registrar::reclaim() {
  MustReclaim = false;
  watcher_slot Slot = *Held;
  result<range_answer> Stored =
      co_await Store.range(mesh_keys::watcher(Slot.Domain, Slot.Number), false);
  if (Stored) {
    Slot.Revision = Stored->Entries.empty()
                        ? 0
                        : Stored->Entries.front().ModifiedAt.value();
    result<transaction_answer> Answer = co_await writeSlot(Slot);
    if (Answer && !Answer->Succeeded)
      co_return lose("another node claimed the slot in the new era");
    if (Answer && Held) {
      Held->Revision = Answer->Revision.value();
      co_return;
    }
  }
  MustReclaim = Held.has_value();
}

void watcher_registrar::resign() {
  Resigned = true;
  if (!Held)
    return;
  lease_id Ended = Lease;
  lose("this node stops");
  asio::co_spawn(Context, release(Ended), asio::detached);
}

awaitable<void> watcher_registrar::release(lease_id Ended) {
  result<void> Revoked = co_await Store.revokeLease(Ended);
  if (!Revoked) // the lease expires on its own
    log_event("slot_not_released").add("error", Revoked.error().text());
}

} // namespace chivebeam
