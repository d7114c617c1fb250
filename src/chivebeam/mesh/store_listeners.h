#pragma once

#include "mesh/mesh_state.h"
#include "mesh/move_executor.h"
#include "mesh/store_subscription.h"
#include "mesh/watcher_registrar.h"
#include "store/skipped_entries.h"

namespace chivebeam {

/// Applies the operator's documents: configurations and orders of moves. Not
/// thread safe.
class operator_listener final : public store_listener {
public:
  /// \pre all arguments outlive the listener.
  operator_listener(const operator_document_format &DocumentFormat,
                    mesh_state &State, move_executor &MoveExecutor)
      : DocumentFormat(DocumentFormat), State(State),
        MoveExecutor(MoveExecutor) {}

  void onListed(const range_answer &Listing) override;
  void onChanged(const watch_event &Event) override;

private:
  void applyOrder(const store_entry &Entry);
  void apply(const std::vector<store_entry> &Entries);

  const operator_document_format &DocumentFormat;
  mesh_state &State;
  move_executor &MoveExecutor;
  skipped_entries Skipped;
};

/// Applies what the nodes of the mesh keep in the store: the slots of watchers,
/// the moves and the key of the coordinator. Not thread safe.
class mesh_listener final : public store_listener {
public:
  /// \pre all arguments outlive the listener.
  mesh_listener(mesh_membership &Membership, move_executor &MoveExecutor,
                watcher_registrar &Registrar)
      : Membership(Membership), MoveExecutor(MoveExecutor),
        Registrar(Registrar) {}

  void onListed(const range_answer &Listing) override;
  void onChanged(const watch_event &Event) override;

private:
  void apply(const store_entry &Entry);
  void applyWatchers(const std::vector<store_entry> &Entries);
  void applyRemoval(const watch_event &Event);

  mesh_membership &Membership;
  move_executor &MoveExecutor;
  watcher_registrar &Registrar;
  skipped_entries Skipped;
};

} // namespace chivebeam
