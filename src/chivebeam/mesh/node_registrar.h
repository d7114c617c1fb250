#pragma once

#include "mesh/mesh_records.h"
#include "mesh/mesh_settings.h"
#include "mesh/operator_document_format.h"
#include "store/config_store.h"

namespace chivebeam {

/// Keeps this node's record in the store under a lease and writes it again soon
/// after the store lost it. Each write requires the revision that was read
/// last, so that a delayed write never replaces a newer record. Runs on one
/// io_context; not thread safe.
class node_registrar {
public:
  /// \pre Store and Settings outlive the registrar.
  node_registrar(asio::io_context &Context, config_store &Store,
                 const mesh_settings &Settings);

  /// Keeps the record registered until the context stops.
  awaitable<void> run();
  /// Sets the record to keep in the store and starts writing it.
  void publish(const home_record &Record);
  /// Called when a read of the store contains this node's key at this revision.
  void entryFound(store_revision Stored);
  /// Called when the store has no entry for this node at the revision AsOf.
  void entryMissing(store_revision AsOf);
  /// Stores that the backend server leaves, for the next process that starts
  /// beside it. Waits a bounded time; returns whether the store has confirmed
  /// the write.
  awaitable<bool> persistLeaving(const home_record &Record);

private:
  awaitable<bool> ensureLease();
  awaitable<void> write();
  awaitable<void> keepLease();
  awaitable<void> readBack();

  config_store &Store;
  const mesh_settings &Settings;
  asio::steady_timer WakeTimer;
  lease_id Lease;
  instant LeaseRenewedAt;
  home_record PublishedRecord;
  bool Dirty = true;
  bool Writing = false;
  store_revision Revision; ///< of this node's key; zero: there is none
};

} // namespace chivebeam
