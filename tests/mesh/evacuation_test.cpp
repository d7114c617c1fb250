// Tests that the backend servers of an evacuated failure domain get no calls.
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

const std::string Order = "op/evacuate/zone-a";

/// A mesh with a server of one service in each of two failure domains, and a
/// node of another service in a third.
struct evacuated_mesh : mesh_fixture {
  evacuated_mesh() {
    for (const char *Domain : {"zone-a", "zone-b", "zone-c"})
      Domains.insert(failure_domain(Domain));
    configure(1, {"desk", "kassa"});
    addNode("desk", "zone-a");
    addNode("desk", "zone-b");
    addNode("kassa", "zone-c");
  }

  /// Waits until each node routes calls to this number of servers.
  awaitable<void> known(std::size_t Servers) {
    for (std::size_t Node = 0; Node < size(); ++Node)
      co_await until([&] { return node(Node).knownServers() == Servers; });
  }
  /// Sends calls to each node; returns how many reached the first server.
  awaitable<std::size_t> callsAtFirstServer() {
    std::size_t Before = worker(0).Received.size();
    for (unsigned Round = 0; Round < 20; ++Round)
      for (std::size_t Node = 0; Node < size(); ++Node) {
        std::string Id = "c" + std::to_string(NextId);
        ++NextId;
        unsigned Status = statusOf(co_await call(Node, get("/desk/1", Id)));
        BOOST_TEST(Status == 200u);
      }
    co_return worker(0).Received.size() - Before;
  }

  unsigned NextId = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation)

// Answers the order itself, the restart of a node that it concerns, and its
// end; an order for a domain that nobody knows leaves all others in force.
BOOST_AUTO_TEST_CASE(servers_of_an_evacuated_domain_get_no_calls) {
  evacuated_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.store().put("op/evacuate/elsewhere", "{}");
    Mesh.store().put(Order, "{}");
    co_await Mesh.known(2);
    std::size_t Calls = co_await Mesh.callsAtFirstServer();
    BOOST_TEST(Calls == 0u);
    co_await Mesh.replaceNode(0);
    co_await Mesh.report(0);
    co_await Mesh.known(2);
    Calls = co_await Mesh.callsAtFirstServer();
    BOOST_TEST(Calls == 0u);
    Mesh.store().remove(Order);
    co_await Mesh.known(3);
    Calls = co_await Mesh.callsAtFirstServer();
    BOOST_TEST(Calls > 0u);
  });
}

// Answers nodes that can't reach the store, at the beginning and at the end of
// an order.
BOOST_AUTO_TEST_CASE(orders_reach_nodes_that_are_cut_off_from_the_store) {
  evacuated_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.cutFromStore(0, true);
    Mesh.cutFromStore(2, true);
    Mesh.store().put(Order, "{}");
    co_await Mesh.known(2);
    std::size_t Calls = co_await Mesh.callsAtFirstServer();
    BOOST_TEST(Calls == 0u);
    Mesh.store().remove(Order);
    co_await Mesh.known(3);
  });
}

// Answers a store that comes back from a copy without the order.
BOOST_AUTO_TEST_CASE(an_order_ends_with_a_copy_of_the_store_without_it) {
  evacuated_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.store().saveCopy();
    Mesh.store().put(Order, "{}");
    co_await Mesh.known(2);
    Mesh.store().restoreCopy();
    co_await Mesh.known(3);
    Mesh.store().put(Order, "{}");
    co_await Mesh.known(2);
  });
}

BOOST_AUTO_TEST_SUITE_END()
