// Tests that a call goes to a backend server with a free slot that its entry
// node does not know of.
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

BOOST_AUTO_TEST_SUITE(free_slot)

// Answers entry nodes that each see few of the calls: two of them choose at the
// same time, and neither call may wait behind the other.
BOOST_AUTO_TEST_CASE(a_call_does_not_wait_while_another_server_is_free) {
  constexpr std::size_t Rounds = 6;
  std::size_t Round = 0;
  mesh_fixture Mesh({"desk", "desk", "kassa", "kassa"});
  for (std::size_t Server : {0, 1}) {
    Mesh.worker(Server).Slots = 1;
    // Neither server answers before both run a call.
    Mesh.worker(Server).Script.MayAnswer = [&] {
      return Mesh.worker(0).Received.size() > Round &&
             Mesh.worker(1).Received.size() > Round;
    };
  }
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    for (; Round < Rounds; ++Round) {
      std::vector<std::unique_ptr<caller>> Callers;
      for (std::size_t Entry : {2, 3}) {
        std::string Id = std::to_string(Round) + "-" + std::to_string(Entry);
        Callers.push_back(std::make_unique<caller>(Mesh.context()));
        co_await Callers.back()->connect(Mesh.node(Entry).settings().Callers);
        co_await Callers.back()->send(Mesh.get("/desk/" + Id, Id));
      }
      for (auto &Caller : Callers)
        BOOST_TEST(statusOf(co_await Caller->read()) == 200u);
    }
    BOOST_TEST(Mesh.worker(0).Received.size() == Rounds);
    BOOST_TEST(Mesh.worker(1).Received.size() == Rounds);
  });
}

// Answers a shortage: with no slot free anywhere, calls wait and are served.
BOOST_AUTO_TEST_CASE(calls_wait_when_no_server_is_free) {
  mesh_fixture Mesh({"desk", "desk", "kassa"});
  for (std::size_t Server : {0, 1}) {
    Mesh.worker(Server).Slots = 1;
    Mesh.worker(Server).Script.Delay = milliseconds(100);
  }
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    std::vector<std::unique_ptr<caller>> Callers;
    for (int Call = 0; Call < 6; ++Call) {
      std::string Id = std::to_string(Call);
      Callers.push_back(std::make_unique<caller>(Mesh.context()));
      co_await Callers.back()->connect(Mesh.node(2).settings().Callers);
      co_await Callers.back()->send(Mesh.get("/desk/" + Id, Id));
    }
    for (auto &Caller : Callers)
      BOOST_TEST(statusOf(co_await Caller->read()) == 200u);
  });
}

BOOST_AUTO_TEST_SUITE_END()
