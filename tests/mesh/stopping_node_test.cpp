// Tests calls that reach a node, or a server through it, while the node stops
// within a short grace period.
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"
#include "net/clock.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

constexpr milliseconds ShortGrace{3'600};
constexpr milliseconds RunTime{800};
constexpr milliseconds CallInterval{40};
constexpr unsigned WarmCalls = 4;

/// An entry node, and a node beside a server of the service kassa whose calls
/// take a while.
struct stopping_mesh : mesh_fixture {
  stopping_mesh() {
    Grace = ShortGrace;
    configure(1, {"desk", "kassa"}, 30);
    addNode("desk");
    addNode("kassa", "zone-a", 60);
    worker(1).Script.Delay = RunTime;
  }

  /// Sends one payment on a connection of its own, and notes its status.
  awaitable<void> pay(std::string Name) {
    std::string Target = "/pay/kassa/" + Name;
    auto Answer = co_await call(0, post(Target, Name, "x", 20'000));
    Statuses[Target] = statusOf(Answer);
  }

  /// Stops a node while payments go on until it has stopped, and checks that
  /// each was served, or has not run.
  awaitable<void> stopUnderCalls(std::size_t Index) {
    co_await ready();
    for (unsigned Number = 0; Number < WarmCalls; ++Number)
      co_await pay("warm-" + std::to_string(Number));
    node(Index).beginStop();
    unsigned Sent = 0;
    for (; !stopped(Index); ++Sent) {
      asio::co_spawn(context(), pay("late-" + std::to_string(Sent)),
                     asio::detached);
      co_await pause(CallInterval);
    }
    co_await until([&] { return Statuses.size() == Sent + WarmCalls; });
    unsigned Served = 0;
    for (const auto &[Target, Status] : Statuses) {
      Served += Status == 200 ? 1 : 0;
      long Runs = runsOf(Target);
      BOOST_TEST((Status == 200 || Runs == 0),
                 Target << " ran, and its caller got " << Status);
    }
    BOOST_TEST(Served > WarmCalls + 10);
  }

  std::map<std::string, unsigned> Statuses; ///< by target
};

} // namespace

BOOST_AUTO_TEST_SUITE(stopping_node)

// Guards against a call that is taken late in the grace period and cut at its
// end, although it may not be repeated.
BOOST_AUTO_TEST_CASE(a_stopping_entry_node_takes_no_call_that_it_must_cut) {
  stopping_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> { co_await Mesh.stopUnderCalls(0); });
}

BOOST_AUTO_TEST_CASE(a_stopping_home_node_takes_no_call_that_it_must_cut) {
  stopping_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> { co_await Mesh.stopUnderCalls(1); });
}

BOOST_AUTO_TEST_SUITE_END()
