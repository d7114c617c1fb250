// Tests that a request is handled by the configuration that is in force when it
// arrives, whatever was in force when its connection was opened.
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

/// Opens a connection to node 0, over which a call has succeeded.
awaitable<void> openUsed(mesh_fixture &Mesh, caller &Caller) {
  co_await Caller.connect(Mesh.node(0).settings().Callers);
  auto Answer = co_await Caller.call(Mesh.get("/desk/1", "first"));
  BOOST_TEST(statusOf(Answer) == 200u);
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_use)

// Guards against a request on a kept connection that is refused by the limits
// of a configuration that was in force when the connection became idle.
BOOST_AUTO_TEST_CASE(a_kept_connection_takes_the_newest_limits) {
  mesh_fixture Mesh;
  Mesh.MaxBodyBytes = 1'000;
  Mesh.configure(1, {"desk"});
  Mesh.addNode("desk");
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    caller Caller(Mesh.context());
    co_await openUsed(Mesh, Caller);
    Mesh.MaxBodyBytes = 1 << 20;
    Mesh.configure(2, {"desk"});
    co_await Mesh.until([&] { return Mesh.hasConfig(0, 2); });
    auto Answer = co_await Caller.call(
        Mesh.post("/desk/1", "second", std::string(2'000, 'x')));
    BOOST_TEST(statusOf(Answer) == 200u);
  });
}

// Guards against a kept connection that ends after the idle timeout of a
// configuration that is no longer in force.
BOOST_AUTO_TEST_CASE(a_longer_idle_timeout_holds_for_idle_connections) {
  mesh_fixture Mesh;
  Mesh.IdleTimeoutS = 1;
  Mesh.configure(1, {"desk"});
  Mesh.addNode("desk");
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    caller Caller(Mesh.context());
    co_await openUsed(Mesh, Caller);
    Mesh.IdleTimeoutS = 15;
    Mesh.configure(2, {"desk"});
    co_await Mesh.until([&] { return Mesh.hasConfig(0, 2); });
    co_await Mesh.pause(milliseconds(1'500));
    auto Answer = co_await Caller.call(Mesh.get("/desk/1", "second"));
    BOOST_TEST(statusOf(Answer) == 200u);
  });
}

// Guards against idle connections that stay open for ever or are closed before
// their caller knows of a shorter timeout.
BOOST_AUTO_TEST_CASE(a_shorter_idle_timeout_holds_from_the_next_request) {
  mesh_fixture Mesh;
  Mesh.IdleTimeoutS = 2;
  Mesh.configure(1, {"desk"});
  Mesh.addNode("desk");
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    caller Caller(Mesh.context());
    co_await openUsed(Mesh, Caller);
    Mesh.IdleTimeoutS = 0.5;
    Mesh.configure(2, {"desk"});
    co_await Mesh.until([&] { return Mesh.hasConfig(0, 2); });
    co_await Mesh.pause(milliseconds(1'000));
    auto Answer = co_await Caller.call(Mesh.get("/desk/1", "second"));
    BOOST_TEST(statusOf(Answer) == 200u);
    co_await Mesh.pause(milliseconds(1'000));
    BOOST_TEST(co_await Caller.ended());
  });
}

BOOST_AUTO_TEST_SUITE_END()
