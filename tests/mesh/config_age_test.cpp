// Tests that a new configuration is in force in time on nodes whose source of
// configurations has fallen silent.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

/// Time in which the platform wants a stored configuration in force.
constexpr milliseconds ApplyTime{2'000};
constexpr milliseconds StepTime{5};

/// Waits until these nodes have the configuration; fails if it takes longer
/// than Limit, counted in steps of this io_context.
awaitable<void> configArrives(mesh_fixture &Mesh,
                              const std::vector<std::size_t> &Nodes,
                              std::uint64_t Number, milliseconds Limit) {
  auto IsOutdated = [&](std::size_t Index) {
    return !Mesh.hasConfig(Index, Number);
  };
  auto Step = Limit / StepTime;
  for (; Step > 0 && std::any_of(Nodes.begin(), Nodes.end(), IsOutdated);
       --Step)
    co_await Mesh.pause(StepTime);
  for (std::size_t Index : Nodes)
    BOOST_TEST(!IsOutdated(Index),
               "node " << Index << " has no configuration " << Number);
}

std::vector<std::size_t> allNodes(const mesh_fixture &Mesh) {
  std::vector<std::size_t> Nodes(Mesh.size());
  std::iota(Nodes.begin(), Nodes.end(), std::size_t{0});
  return Nodes;
}

bool anyOnStandby(mesh_fixture &Mesh) {
  for (std::size_t Index = 0; Index < Mesh.size(); ++Index)
    if (Mesh.node(Index).isOnStandby())
      return true;
  return false;
}

/// Waits until both slots for watchers are held and the other nodes rely on
/// watchers.
awaitable<std::vector<std::size_t>> findWatchers(mesh_fixture &Mesh) {
  co_await Mesh.until([&] {
    return Mesh.watchersOf("zone-a").size() == 2 && !anyOnStandby(Mesh);
  });
  // The last watch of a node that was on standby ends meanwhile.
  co_await Mesh.pause(milliseconds(1'500));
  co_return Mesh.watchersOf("zone-a");
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_age)

// Guards against a watch that the store never answers: its node takes the
// silence for "no change" and goes on with an outdated configuration.
BOOST_AUTO_TEST_CASE(a_watch_without_answer_is_replaced_in_time) {
  mesh_fixture Mesh({"desk", "desk"});
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await findWatchers(Mesh);
    Mesh.store().silenceWatches();
    Mesh.configure(2, {"desk"});
    co_await configArrives(Mesh, allNodes(Mesh), 2, ApplyTime);
  });
}

// Guards against a node that relies on watchers which can't read the store.
BOOST_AUTO_TEST_CASE(a_node_reads_the_store_if_its_watchers_cannot) {
  mesh_fixture Mesh({"desk", "desk", "desk"});
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    std::vector<std::size_t> Watchers = co_await findWatchers(Mesh);
    for (std::size_t Watcher : Watchers)
      Mesh.cutFromStore(Watcher, true);
    Mesh.configure(2, {"desk"});
    std::vector<std::size_t> Others = allNodes(Mesh);
    for (std::size_t Watcher : Watchers)
      std::erase(Others, Watcher);
    co_await configArrives(Mesh, Others, 2, ApplyTime);
  });
}

// Guards against a configuration that its node learns only with the next ping.
BOOST_AUTO_TEST_CASE(watchers_announce_a_new_configuration_at_once) {
  mesh_fixture Mesh({"desk", "desk", "desk"});
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await findWatchers(Mesh);
    for (std::uint64_t Number = 2; Number < 6; ++Number) {
      Mesh.configure(Number, {"desk"});
      co_await configArrives(Mesh, allNodes(Mesh), Number, milliseconds(250));
      // Later than a burst, so that the watch delivers the next change.
      co_await Mesh.pause(milliseconds(1'130));
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()
