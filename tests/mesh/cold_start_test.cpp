// Tests that cold backend servers get no more calls than their service says
// they take, and that the others get the rest.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

constexpr double ColdRate = 10;
constexpr std::size_t AllowedInSecond = 15;

/// A mesh with two servers of one service, which takes few calls while it is
/// cold, and a node that only its callers use.
struct cold_mesh : mesh_fixture {
  cold_mesh() {
    ColdPerS = ColdRate;
    configure(1, {"desk", "kassa"});
    addNode("desk", "zone-a", 64);
    addNode("desk", "zone-b", 64);
    addNode("kassa", "zone-a");
  }

  awaitable<void> sendCall(std::size_t Node) {
    ++Open;
    std::string Id = "c" + std::to_string(NextId);
    ++NextId;
    Served += statusOf(co_await call(Node, get("/desk/1", Id))) == 200 ? 1 : 0;
    --Open;
  }
  /// Notes when calls reach the first server.
  void noteCalls() {
    worker(0).Script.Answer =
        [this](tcp::socket &Socket,
               const http::request<http::string_body> &Request)
        -> awaitable<void> {
      ArrivedAt.push_back(currentTime());
      text_answer Answer(http::status::ok, 11);
      Answer.set("Request-Id", Request["Request-Id"]);
      Answer.set("Response-Signature", "signed");
      Answer.prepare_payload();
      error_code Code;
      co_await http::async_write(Socket, Answer, orError(Code));
    };
  }
  /// Sends a hundred calls a second to each node; returns the most calls that
  /// have reached the first server in one second.
  awaitable<std::size_t> loadFor(milliseconds Time) {
    ArrivedAt.clear();
    for (instant End = currentTime() + Time; currentTime() < End;) {
      for (std::size_t Node = 0; Node < size(); ++Node)
        asio::co_spawn(context(), sendCall(Node), asio::detached);
      co_await pause(milliseconds(10));
    }
    co_await until([&] { return Open == 0; });
    std::size_t Most = 0;
    for (auto First = ArrivedAt.begin(); First != ArrivedAt.end(); ++First) {
      auto End = std::lower_bound(First, ArrivedAt.end(), *First + seconds(1));
      Most = std::max<std::size_t>(Most, static_cast<std::size_t>(End - First));
    }
    co_return Most;
  }

  std::vector<instant> ArrivedAt;
  unsigned NextId = 0;
  unsigned Open = 0;
  unsigned Served = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(cold_start)

// Answers a server that turns cold while it runs, and the restart of its home
// node, whose new process does not know that.
BOOST_AUTO_TEST_CASE(a_cold_server_gets_no_more_calls_than_it_takes) {
  cold_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    constexpr milliseconds Time{1'500};
    Mesh.noteCalls();
    co_await Mesh.ready();
    std::size_t Warm = co_await Mesh.loadFor(milliseconds(500));
    BOOST_TEST(Warm > AllowedInSecond);
    Mesh.worker(0).ColdRemainingS = 3;
    co_await Mesh.report(0);
    std::size_t Cold = co_await Mesh.loadFor(Time);
    BOOST_TEST(Cold <= AllowedInSecond);
    BOOST_TEST(Cold >= 5u);
    // The other server has room for the rest.
    BOOST_TEST(Mesh.Served >= Mesh.NextId * 95 / 100);
    co_await Mesh.replaceNode(0);
    Cold = co_await Mesh.loadFor(Time);
    BOOST_TEST(Cold <= AllowedInSecond);
    Mesh.worker(0).ColdRemainingS = 0;
    co_await Mesh.report(0);
    Warm = co_await Mesh.loadFor(Time);
    BOOST_TEST(Warm > AllowedInSecond);
  });
}

// Answers servers of an evacuated domain that became cold meanwhile.
BOOST_AUTO_TEST_CASE(calls_return_to_an_evacuated_domain_as_to_cold_servers) {
  cold_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    constexpr milliseconds Time{1'000};
    Mesh.noteCalls();
    co_await Mesh.ready();
    Mesh.store().put("op/evacuate/zone-a", "{}");
    for (std::size_t Node = 0; Node < Mesh.size(); ++Node)
      co_await Mesh.until([&] { return Mesh.node(Node).knownServers() == 1; });
    Mesh.store().remove("op/evacuate/zone-a");
    for (std::size_t Node = 0; Node < Mesh.size(); ++Node)
      co_await Mesh.until([&] { return Mesh.node(Node).knownServers() == 3; });
    std::size_t Cold = co_await Mesh.loadFor(Time);
    BOOST_TEST(Cold <= AllowedInSecond);
    BOOST_TEST(Cold >= 5u);
    co_await Mesh.report(0);
    std::size_t Warm = co_await Mesh.loadFor(Time);
    BOOST_TEST(Warm > AllowedInSecond);
  });
}

BOOST_AUTO_TEST_SUITE_END()
