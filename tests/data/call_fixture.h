#pragma once

#include <deque>
#include <functional>
#include <optional>

#include "data/data_plane.h"
#include "stand_ins/scripted_http.h"

namespace chivebeam::tests {

/// One entry node and home nodes, each with a scripted worker, on one context.
class call_fixture {
public:
  call_fixture();

  /// Adds a home node; returns its index.
  std::size_t addHome(scripted_worker::script Script, unsigned Slots = 4,
                      std::string Service = "kassa");
  /// Opens the entry node's listener.
  void open();
  /// Runs a test to its end; fails it after a timeout.
  void run(std::function<awaitable<void>()> Test);
  /// Runs other work of the context until the condition is true.
  awaitable<void> until(std::function<bool()> Condition);
  void setView();

  scripted_worker &worker(std::size_t Index) { return *Workers[Index]; }
  data_plane &home(std::size_t Index) { return *Homes[Index]; }

  asio::io_context Context;
  node_settings Settings;
  std::unique_ptr<data_plane> Entry;
  address Traffic;
  bool Drained = false;
  std::vector<call_outcome> Outcomes; ///< reported by home nodes

private:
  std::vector<std::unique_ptr<scripted_worker>> Workers;
  std::deque<node_settings> HomeSettings;
  std::vector<std::unique_ptr<data_plane>> Homes;
  std::vector<member_record> Members;
  atomic_fleet_view Views;
  snapshot_ptr Config;
};

} // namespace chivebeam::tests
