#pragma once

#include "mesh/mesh_records.h"
#include "mesh/mesh_settings.h"
#include "mesh/operator_document_format.h"
#include "store/config_store.h"

namespace chivebeam {

/// Keeps this node's record in the store under a lease, and there again soon
/// after the store lost it. Writes are conditional on the revision that was
/// seen last, so that one that takes effect late never replaces a newer one.
/// Runs on one io_context; not thread safe.
class node_registrar {
public:
  /// \pre Store and Settings outlive the registrar.
  node_registrar(asio::io_context &Context, config_store &Store,
                 const mesh_settings &Settings);

  /// Registers until the context stops.
  awaitable<void> run();
  /// Sets what is to be in the store; written soon.
  void publish(const home_record &Record);
  /// Notes what the store held under this node's key.
  void entryFound(store_revision Stored);
  /// Notes that the store held nothing there at the revision AsOf.
  void entryMissing(store_revision AsOf);
  /// Writes that the backend server leaves, so that the next process beside it
  /// knows. Waits a bounded time; returns whether the store has it.
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
  store_revision Revision; ///< of this node's key; zero: it does not exist
};

} // namespace chivebeam
