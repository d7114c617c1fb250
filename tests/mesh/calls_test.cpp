// Calls through a mesh of nodes: entry node, home node, backend server.
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

unsigned statusOf(const std::optional<text_answer> &Answer) {
  return Answer ? Answer->result_int() : 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_call_reaches_a_backend_server_beside_another_node) {
  mesh_fixture Mesh;
  Mesh.configure(1, {"desk", "kassa"});
  Mesh.addNode("desk");
  Mesh.addNode("kassa");
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    auto Answer =
        co_await Mesh.call(0, Mesh.post("/pay/kassa/1", "r1", "mats"));
    BOOST_TEST(statusOf(Answer) == 200u);
    BOOST_TEST(Answer->body() == "w-1:mats");
    BOOST_TEST((*Answer)["Response-Signature"] == "signed");
    auto &Received = Mesh.worker(1).Received;
    BOOST_REQUIRE(Received.size() == 1u);
    BOOST_TEST(Received[0]["Expected-Instance"] == "w-1");
    BOOST_TEST(Received[0]["Caller-Service"] == "desk");
    BOOST_TEST(Received[0]["Request-Id"] == "r1");
    BOOST_TEST(Received[0].target() == "/pay/kassa/1");
  });
}
