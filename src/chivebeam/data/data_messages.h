#pragma once

#include <atomic>
#include <memory>
#include <variant>

#include "base/address.h"
#include "routing/fleet_view.h"

namespace chivebeam {

/// The backend server beside this node, as the data plane must treat it.
struct worker_binding {
  address Worker;
  unsigned Slots = 0; ///< zero: takes no new calls
  version_name Version;
};
/// Opens the caller's listener.
struct open_traffic {};
/// Begins a graceful shutdown.
struct begin_drain {};

/// What the control thread tells the data thread.
using data_command = std::variant<worker_binding, open_traffic, begin_drain>;

/// Outcome of one call that the backend server beside this node ran or, with
/// AtEntry, that this node passed on for a caller.
struct call_outcome {
  service_name Service;
  version_name Version;
  route_name Route;
  bool Failed = false;
  microseconds Duration{0};
  bool AtEntry = false;
  work_class Class = work_class::status; ///< not set with AtEntry
  tenant_name Workspace;                 ///< not set with AtEntry
};
/// The data plane has no call left and no listener open.
struct data_drained {};
/// The caller's listener is open at this address.
struct traffic_opened {
  address Bound;
};

/// What the data thread tells the control thread.
using data_event = std::variant<call_outcome, data_drained, traffic_opened>;

/// Holds the newest view for the data plane. The control thread swaps it, the
/// data thread loads it once for each call. Thread safe.
class atomic_fleet_view {
public:
  fleet_view_ptr load() const { return View.load(); }
  void store(fleet_view_ptr New) { View.store(std::move(New)); }

private:
  std::atomic<fleet_view_ptr> View;
};

} // namespace chivebeam
