// Tests that slow calls are sent to a second backend server.
#include <cstdlib>

#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

constexpr unsigned LearningCalls = 80;
constexpr unsigned CallsTogether = 3;

/// Run time of calls. Copies are allowed a part of that of all calls, which is
/// more than a busy machine adds to a few copies.
constexpr milliseconds RunTime{10};
/// Longer than the delay until a second copy is sent.
constexpr milliseconds CrashDelay{300};

/// A mesh of one entry node and some backend servers, of which the one that
/// gets a request to a path with "slow" first doesn't answer it, and none
/// answers a request to a path with "stuck".
struct hedging_mesh : mesh_fixture {
  explicit hedging_mesh(std::size_t Servers = 2) {
    Hedging.ExtraPercent = 20;
    configure(1, {"front", "desk"}, 30.0);
    addNode("front");
    for (std::size_t Index = 1; Index <= Servers; ++Index) {
      addNode("desk");
      worker(Index).Script.Answer =
          [this](tcp::socket &Socket,
                 const http::request<http::string_body> &Request) {
            return answer(Socket, Request);
          };
    }
  }

  awaitable<void> answer(tcp::socket &Socket,
                         const http::request<http::string_body> &Request) {
    auto Contains = [&](std::string_view Word) {
      return Request.target().find(Word) != std::string_view::npos;
    };
    if (Contains("stuck") || (Contains("slow") && Hung.empty())) {
      Hung.push_back(&Socket);
      // Completes when the call is cancelled or released, or else with the
      // test.
      char Byte = 0;
      error_code Code;
      co_await Socket.async_read_some(asio::buffer(&Byte, 1), orError(Code));
      ++HangsEnded;
      if (Code != asio::error::operation_aborted)
        co_return;
    }
    co_await sleepFor(RunTime);
    error_code Ignored;
    co_await asio::async_write(Socket,
                               asio::buffer("HTTP/1.1 200 OK\r\nRequest-Id: " +
                                            std::string(Request["Request-Id"]) +
                                            "\r\nContent-Length: 0\r\n\r\n"),
                               orError(Ignored));
  }

  /// Lets the entry node learn how long calls take, and the load of the
  /// servers: one that has answered no call gets no copy.
  awaitable<void> learn() {
    for (unsigned Call = 0; Call < LearningCalls; ++Call)
      BOOST_REQUIRE(statusOf(co_await call(
                        0, get("/desk/1", "l" + std::to_string(Call)))) ==
                    200u);
    std::vector<std::size_t> Before;
    for (std::size_t Index = 1; Index < size(); ++Index)
      Before.push_back(worker(Index).Received.size());
    for (std::size_t Index = 1; Index < size(); ++Index)
      while (worker(Index).Received.size() == Before[Index - 1])
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

  /// Returns a metric of the entry node; zero before it is first set.
  double metric(const std::string &Name) {
    std::string Text = "\n" + node(0).metricsText();
    std::string Start = "\nchivebeam_" + Name + " ";
    std::size_t Found = Text.find(Start);
    return Found == std::string::npos
               ? 0
               : std::atof(Text.c_str() + Found + Start.size());
  }

  std::vector<tcp::socket *> Hung; ///< connections of calls that hung
  unsigned HangsEnded = 0;
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
    co_await Mesh.until([&] { return Mesh.HangsEnded == 1; });
    BOOST_TEST(Mesh.metric("hedges_won_total") == 1);
    BOOST_TEST(Mesh.metric("hedge_base_seconds") > 0);
    BOOST_TEST(Mesh.metric("hedge_extra_seconds") > 0);
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

// A caller goes while two servers run its call: both become free long before
// its deadline.
BOOST_AUTO_TEST_CASE(both_slots_are_freed_when_the_caller_disconnects) {
  hedging_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await Mesh.learn();
    caller Caller(Mesh.context());
    co_await Caller.connect(Mesh.node(0).settings().Callers);
    co_await Caller.send(Mesh.get("/desk/stuck", "s", 25'000));
    co_await Mesh.until([&] { return Mesh.Hung.size() == 2; });
    Caller.close();
    co_await Mesh.until([&] { return Mesh.HangsEnded == 2; });
    BOOST_TEST(Mesh.runsOf("/desk/stuck") == 2);
  });
}

// The entry node is stopped while two servers run a call. Its caller gets the
// answer that comes, and the other server becomes free.
BOOST_AUTO_TEST_CASE(a_stopping_entry_node_answers_a_hedged_call) {
  hedging_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await Mesh.learn();
    unsigned Status = 0;
    asio::co_spawn(
        Mesh.context(),
        [&]() -> awaitable<void> {
          Status =
              statusOf(co_await Mesh.call(0, Mesh.get("/desk/stuck", "s")));
        },
        asio::detached);
    co_await Mesh.until([&] { return Mesh.Hung.size() == 2; });
    Mesh.node(0).beginStop();
    Mesh.Hung.back()->cancel();
    co_await Mesh.until([&] { return Mesh.stopped(0); });
    BOOST_TEST(Status == 200u);
    BOOST_TEST(Mesh.HangsEnded == 2u);
    BOOST_TEST(Mesh.runsOf("/desk/stuck") == 2);
  });
}

// Guards against copies that spread a request which crashes servers: one call
// ends two servers at most, as without copies, and it is refused soon.
BOOST_AUTO_TEST_CASE(a_crashing_request_is_not_copied_to_further_servers) {
  hedging_mesh Mesh(5);
  for (std::size_t Index = 1; Index < Mesh.size(); ++Index) {
    Mesh.worker(Index).Script.CrashDelay = CrashDelay;
    Mesh.worker(Index).Script.Crashes = [](const auto &Request) {
      return Request.target() == "/desk/crash";
    };
  }
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await Mesh.learn();
    for (unsigned Call = 0; Call < 5; ++Call) {
      long Before = Mesh.runsOf("/desk/crash");
      co_await Mesh.call(
          0, Mesh.get("/desk/crash", "c" + std::to_string(Call), 4'000));
      BOOST_TEST(Mesh.runsOf("/desk/crash") - Before <= 2);
      co_await Mesh.pause(seconds(1));
    }
    BOOST_TEST(Mesh.metric("calls_hedged_total") >= 1);
    BOOST_TEST(Mesh.runsOf("/desk/crash") <= 4);
  });
}

BOOST_AUTO_TEST_SUITE_END()
