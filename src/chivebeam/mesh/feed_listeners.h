#pragma once

#include "mesh/mesh_state.h"
#include "mesh/move_desk.h"
#include "mesh/store_feed.h"
#include "mesh/worker_report_handler.h"

namespace chivebeam {

/// Takes in the operator's documents. Not thread safe.
class order_listener final : public feed_listener {
public:
  /// \pre everything outlives the listener.
  order_listener(const order_source &Orders, mesh_state &State, move_desk &Desk)
      : Orders(Orders), State(State), Desk(Desk) {}

  void listed(const range_answer &Listing) override;
  void changed(const watch_event &Event) override;

private:
  void takeOrder(const store_entry &Entry);
  void take(const std::vector<store_entry> &Entries);

  const order_source &Orders;
  mesh_state &State;
  move_desk &Desk;
};

/// Takes in what the nodes of the mesh keep in the store. Not thread safe.
class mesh_listener final : public feed_listener {
public:
  /// \pre everything outlives the listener.
  mesh_listener(const mesh_settings &Settings, mesh_state &State,
                move_desk &Desk, worker_report_handler &Workers,
                node_registrar &Registrar)
      : Settings(Settings), State(State), Desk(Desk), Workers(Workers),
        Registrar(Registrar) {}

  void listed(const range_answer &Listing) override;
  void changed(const watch_event &Event) override;

private:
  void take(const store_entry &Entry);
  void takeHome(const store_entry &Entry);
  void removed(const watch_event &Event);

  const mesh_settings &Settings;
  mesh_state &State;
  move_desk &Desk;
  worker_report_handler &Workers;
  node_registrar &Registrar;
};

} // namespace chivebeam
