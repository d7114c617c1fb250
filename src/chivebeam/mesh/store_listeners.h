#pragma once

#include "mesh/mesh_state.h"
#include "mesh/move_executor.h"
#include "mesh/store_subscription.h"
#include "mesh/watcher_registrar.h"
#include "store/skipped_entries.h"

namespace chivebeam {

/// Applies the operator's documents: configurations, orders of moves and of
/// evacuations. Not thread safe.
class operator_listener final : public store_listener {
public:
  /// \pre all arguments outlive the listener.
  operator_listener(const mesh_settings &Settings,
                    const operator_document_format &DocumentFormat,
                    mesh_state &State, move_executor &MoveExecutor)
      : Settings(Settings), DocumentFormat(DocumentFormat), State(State),
        MoveExecutor(MoveExecutor) {}

  void onListed(const range_answer &Listing) override;
  void onChanged(const watch_event &Event) override;

private:
  void applyOrder(const store_entry &Entry);
  void apply(const std::vector<store_entry> &Entries);
  /// Returns the failure domain that an entry evacuates; empty for other
  /// entries and for an order that names an unknown domain, which is logged.
  std::optional<failure_domain> evacuatedBy(const store_entry &Entry);

  const mesh_settings &Settings;
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
