#pragma once

#include "mesh/mesh_state.h"
#include "mesh/move_executor.h"
#include "mesh/store_subscription.h"
#include "mesh/worker_report_handler.h"

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
};

/// Applies the records that the nodes of the mesh keep in the store. Not thread
/// safe.
class mesh_listener final : public store_listener {
public:
  /// \pre all arguments outlive the listener.
  mesh_listener(const mesh_settings &Settings, mesh_state &State,
                move_executor &MoveExecutor, worker_report_handler &Workers,
                node_registrar &Registrar)
      : Settings(Settings), State(State), MoveExecutor(MoveExecutor),
        Workers(Workers), Registrar(Registrar) {}

  void onListed(const range_answer &Listing) override;
  void onChanged(const watch_event &Event) override;

private:
  void apply(const store_entry &Entry);
  void applyHomeRecord(const store_entry &Entry);
  void applyRemoval(const watch_event &Event);

  const mesh_settings &Settings;
  mesh_state &State;
  move_executor &MoveExecutor;
  worker_report_handler &Workers;
  node_registrar &Registrar;
};

} // namespace chivebeam
