#pragma once

#include "membership/watcher_election.h"
#include "mesh/mesh_membership.h"
#include "mesh/mesh_records.h"
#include "store/config_store.h"
#include "store/skipped_entries.h"

namespace chivebeam {

/// Makes this node a watcher if its failure domain lacks one: lists the slots
/// of watchers in the store, claims one under a lease and keeps it. Each write
/// requires the revision that was read last, so that a delayed write never
/// replaces a newer one. Runs on one io_context; not thread safe.
class watcher_registrar {
public:
  /// \pre all arguments outlive the registrar.
  watcher_registrar(asio::io_context &Context, config_store &Store,
                    const mesh_settings &Settings, mesh_state &State,
                    mesh_membership &Membership);

  /// Takes part in the election until the context stops.
  awaitable<void> run();
  /// Gives up the role for good, so that another node takes it over. Called
  /// when this node stops.
  void resign();
  bool isWatcher() const { return Held.has_value(); }
  /// Returns the key of the slot that this node holds, if any.
  std::optional<std::string> heldKey() const;
  /// Called when a read of the store contains this slot.
  void slotFound(const watcher_slot &Slot);
  /// Called when the store lacks the key at the revision AsOf.
  void slotMissing(const std::string &Key, store_revision AsOf);
  /// Forgets what was read and written in an earlier era of the store, and
  /// claims the slot again.
  void forgetStore();

private:
  awaitable<void> takePart(instant Now);
  awaitable<void> list();
  awaitable<void> claim(watcher_slot Slot);
  /// Writes this node into the slot; returns the revision of the slot's key.
  awaitable<result<transaction_answer>> writeSlot(watcher_slot Slot);
  /// Claims the slot that this node held before the store came back from an
  /// older copy.
  awaitable<void> reclaim();
  awaitable<bool> ensureLease();
  awaitable<void> keepLease(instant Now);
  awaitable<void> release(lease_id Ended);
  void lose(std::string_view Why);

  asio::io_context &Context;
  config_store &Store;
  const mesh_settings &Settings;
  mesh_state &State;
  mesh_membership &Membership;
  watcher_election Election;
  std::optional<watcher_slot> Held;
  skipped_entries Skipped;
  lease_id Lease;
  instant LeaseRenewedAt;
  bool Resigned = false;
  bool MustReclaim = false;
};

/// Reads the slots of watchers and their records from a listing.
struct listed_watchers {
  std::vector<watcher_slot> Slots;
  std::vector<home_record> Records;

  /// Adds an entry; ignores one that is not the slot of a watcher. Returns an
  /// error if the entry can't be read. A slot with such an entry is held by
  /// nobody.
  std::optional<error> add(const store_entry &Entry, instant Now);
};

} // namespace chivebeam
