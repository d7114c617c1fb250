// Tests that slow calls are sent to a second backend server.
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

constexpr unsigned LearningCalls = 80;
constexpr unsigned CallsTogether = 3;

/// A mesh of one entry node and two backend servers, of which the one that gets
/// a request to a path with "slow" first doesn't answer it.
struct hedging_mesh : mesh_fixture {
  hedging_mesh() {
    Hedging.ExtraPercent = 10;
    configure(1, {"front", "desk"}, 5.0);
    addNode("front");
    addNode("desk");
    addNode("desk");
    for (std::size_t Index : {1, 2})
      worker(Index).Script.Answer =
          [this, Index](tcp::socket &Socket,
                        const http::request<http::string_body> &Request) {
            return answer(Index, Socket, Request);
          };
  }

  awaitable<void> answer(std::size_t Index, tcp::socket &Socket,
                         const http::request<http::string_body> &Request) {
    bool IsSlow = Request.target().find("slow") != std::string_view::npos;
    if (IsSlow && !SlowServer) {
      SlowServer = Index;
      // Completes when the call is cancelled, or else with the test.
      char Byte = 0;
      error_code Code;
      co_await Socket.async_read_some(asio::buffer(&Byte, 1), orError(Code));
      SlowCallEnded = true;
      co_return;
    }
    error_code Ignored;
    co_await asio::async_write(Socket,
                               asio::buffer("HTTP/1.1 200 OK\r\nRequest-Id: " +
                                            std::string(Request["Request-Id"]) +
                                            "\r\nContent-Length: 0\r\n\r\n"),
                               orError(Ignored));
  }

  /// Lets the entry node learn how long calls take, and the load of both
  /// servers: one that has answered no call gets no copy.
  awaitable<void> learn() {
    for (unsigned Call = 0; Call < LearningCalls; ++Call)
      BOOST_REQUIRE(statusOf(co_await call(
                        0, get("/desk/1", "l" + std::to_string(Call)))) ==
                    200u);
    std::size_t Before1 = worker(1).Received.size();
    std::size_t Before2 = worker(2).Received.size();
    while (worker(1).Received.size() == Before1 ||
           worker(2).Received.size() == Before2)
      co_await callTogether();
  }

  /// Makes as many calls at a time as leave a server a free slot.
  awaitable<void> callTogether() {
    unsigned Ended = 0;
    for (unsigned Call = 0; Call < CallsTogether; ++Call)
      asio::co_spawn(
          context(),
          [this, &Ended, Call]() -> awaitable<void> {
            co_await call(0, get("/desk/1", "c" + std::to_string(Call)));
            ++Ended;
          },
          asio::detached);
    co_await until([&Ended] { return Ended == CallsTogether; });
  }

  std::optional<std::size_t> SlowServer;
  bool SlowCallEnded = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(hedging)

// Load: one server hangs on a read while another one is free.
BOOST_AUTO_TEST_CASE(a_slow_read_is_answered_by_a_second_server) {
  hedging_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await Mesh.learn();
    auto Answer = co_await Mesh.call(0, Mesh.get("/desk/slow", "r", 4'000));
    BOOST_TEST(statusOf(Answer) == 200u);
    BOOST_TEST(Mesh.runsOf("/desk/slow") == 2);
    co_await Mesh.until([&] { return Mesh.SlowCallEnded; });
  });
}

// A payment that hangs is never sent to a second server.
BOOST_AUTO_TEST_CASE(a_call_that_may_run_once_is_not_hedged) {
  hedging_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await Mesh.learn();
    auto Answer =
        co_await Mesh.call(0, Mesh.post("/pay/desk/slow", "p", "x", 1'000));
    BOOST_TEST(statusOf(Answer) == 504u);
    BOOST_TEST(Mesh.runsOf("/pay/desk/slow") == 1);
  });
}

BOOST_AUTO_TEST_SUITE_END()
