#pragma once

#include <atomic>
#include <memory>
#include <variant>

#include "base/address.h"
#include "routing/fleet_view.h"

namespace chivebeam {

/// Address, slots and version of the backend server beside this node.
struct worker_binding {
  address Worker;
  unsigned Slots = 0; ///< zero: accepts no new calls
  version_name Version;
};
/// Opens the listener for callers.
struct open_traffic {};
/// Starts a graceful shutdown.
struct begin_drain {};

/// A message from the control thread to the data thread.
using data_command = std::variant<worker_binding, open_traffic, begin_drain>;

/// Outcome of one call. With AtEntry this node forwarded the call for a caller;
/// without it the backend server beside this node ran the call.
struct call_outcome {
  service_name Service;
  version_name Version;
  route_name Route;
  bool Failed = false;
  microseconds Duration{0};
  bool AtEntry = false;
  work_class Class = work_class::status; ///< not set with AtEntry
  workspace_name Workspace;              ///< not set with AtEntry
};
/// The drain is complete: no calls, no connections from callers and no listener
/// for callers are left.
struct data_drained {};
/// The listener for callers is open at this address.
struct traffic_opened {
  address Bound;
};

/// A message from the data thread to the control thread.
using data_event = std::variant<call_outcome, data_drained, traffic_opened>;

/// Holds the latest fleet view for the data plane. The control thread replaces
/// it; the data thread loads it once per call. Thread safe.
class atomic_fleet_view {
public:
  fleet_view_ptr load() const { return View.load(); }
  void store(fleet_view_ptr New) { View.store(std::move(New)); }

private:
  std::atomic<fleet_view_ptr> View;
};

} // namespace chivebeam
