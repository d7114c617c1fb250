// Tests a request that crashes every backend server that runs it and comes
// again at any node, each time under a new id.
#include <cstdlib>

#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"
#include "net/clock.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

using request = http::request<http::string_body>;

const std::string CrashingTarget = "/kassa/crash";
/// Servers that may end before the request is refused everywhere.
constexpr unsigned CrashesToRefuse = 3;
/// Time in which the nodes learn of a crash.
constexpr milliseconds NewsTime{500};
constexpr unsigned MaxRunsAfterwards = 3;
constexpr milliseconds RetryInterval{50};
/// Longer than servers need to start again several times.
constexpr seconds RetryTime{4};

/// Two failure domains, each with callers and with servers of the service
/// kassa, which a request to CrashingTarget crashes.
struct crashing_mesh : mesh_fixture {
  crashing_mesh() {
    configure(1, {"desk", "kassa"});
    for (std::string Domain : {"zone-a", "zone-b"})
      for (std::string Service : {"desk", "kassa", "kassa", "kassa"})
        addNode(Service, Domain);
    for (std::size_t Index = 0; Index < size(); ++Index)
      worker(Index).Script.Crashes = [](const request &Request) {
        return Request.target() == CrashingTarget;
      };
  }

  awaitable<void> start() {
    co_await ready();
    co_await until([&] {
      return !watchersOf("zone-a").empty() && !watchersOf("zone-b").empty();
    });
    // All nodes subscribe to the watchers meanwhile.
    co_await pause(seconds(1));
  }

  /// Returns how often the crashing request has reached servers.
  long runs() const { return runsOf(CrashingTarget); }

  /// Sends the crashing request to the next node, under a new id.
  awaitable<std::optional<text_answer>> retryCrashing() {
    unsigned Number = Retries++;
    co_return co_await call(
        Number % size(),
        get(CrashingTarget, "crash-" + std::to_string(Number)));
  }

  /// Sends it until it has crashed three servers, and a little longer.
  awaitable<void> crashThree() {
    instant GiveUpAt = currentTime() + seconds(20);
    while (crashes() < CrashesToRefuse && currentTime() < GiveUpAt) {
      co_await retryCrashing();
      co_await pause(RetryInterval);
    }
    BOOST_TEST(crashes() >= CrashesToRefuse);
    co_await pause(NewsTime);
  }

private:
  unsigned Retries = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_request)

BOOST_AUTO_TEST_CASE(it_reaches_few_servers_after_it_crashed_three) {
  crashing_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.start();
    co_await Mesh.crashThree();
    long Before = Mesh.runs();
    instant End = currentTime() + RetryTime;
    while (currentTime() < End) {
      co_await Mesh.retryCrashing();
      co_await Mesh.pause(RetryInterval);
    }
    BOOST_TEST(Mesh.runs() - Before <= MaxRunsAfterwards);
  });
}

BOOST_AUTO_TEST_CASE(other_requests_are_served_afterwards) {
  crashing_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.start();
    co_await Mesh.crashThree();
    // By then all servers have started again.
    co_await Mesh.pause(seconds(2));
    for (std::size_t Index = 0; Index < Mesh.size(); ++Index) {
      auto Answer = co_await Mesh.call(
          Index, Mesh.get("/kassa/other", "other-" + std::to_string(Index)));
      BOOST_TEST(statusOf(Answer) == 200u);
    }
  });
}

BOOST_AUTO_TEST_CASE(every_node_refuses_it_as_not_run) {
  crashing_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.start();
    co_await Mesh.crashThree();
    co_await Mesh.pause(seconds(2));
    for (std::size_t Index = 0; Index < Mesh.size(); ++Index) {
      auto Answer = co_await Mesh.retryCrashing();
      BOOST_TEST(statusOf(Answer) == 503u);
      BOOST_REQUIRE(Answer);
      BOOST_TEST(std::atof(std::string((*Answer)["Retry-After"]).c_str()) > 1);
    }
  });
}

// Guards against requests that are refused since connections are lost on their
// way, while the servers live.
BOOST_AUTO_TEST_CASE(a_request_whose_connections_are_reset_is_not_refused) {
  crashing_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.start();
    bool Resets = true;
    for (std::size_t Index = 0; Index < Mesh.size(); ++Index)
      Mesh.worker(Index).Script.Answer =
          [&Resets](tcp::socket &Socket,
                    const request &Request) -> awaitable<void> {
        if (Resets)
          co_return reset(Socket);
        co_await write(Socket, "HTTP/1.1 200 OK\r\nRequest-Id: " +
                                   std::string(Request["Request-Id"]) +
                                   "\r\nContent-Length: 0\r\n\r\n");
      };
    for (unsigned Number = 0; Number < 12; ++Number) {
      auto Answer = co_await Mesh.call(
          Number % Mesh.size(),
          Mesh.get("/kassa/reset", "reset-" + std::to_string(Number)));
      BOOST_TEST(statusOf(Answer) == 502u);
    }
    Resets = false;
    for (std::size_t Index = 0; Index < Mesh.size(); ++Index) {
      auto Answer = co_await Mesh.call(
          Index, Mesh.get("/kassa/reset", "sound-" + std::to_string(Index)));
      BOOST_TEST(statusOf(Answer) == 200u);
    }
  });
}

// A call that runs beside the crashing one may end with its servers, but not be
// refused for that.
BOOST_AUTO_TEST_CASE(a_call_beside_the_crashing_one_is_served_later) {
  crashing_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.start();
    for (std::size_t Index = 0; Index < Mesh.size(); ++Index)
      Mesh.worker(Index).Script.Delay = milliseconds(40);
    for (unsigned Number = 0; Number < CrashesToRefuse; ++Number) {
      asio::co_spawn(
          Mesh.context(),
          [&Mesh, Number]() -> awaitable<void> {
            co_await Mesh.call(0, Mesh.get("/kassa/beside",
                                           "beside-" + std::to_string(Number)));
          },
          asio::detached);
      co_await Mesh.retryCrashing();
      co_await Mesh.pause(seconds(1));
    }
    auto Answer = co_await Mesh.call(0, Mesh.get("/kassa/beside", "last"));
    BOOST_TEST(statusOf(Answer) == 200u);
  });
}

// Guards against the refusal of a page that each of several servers was running
// when they crashed together, for a reason of their own.
BOOST_AUTO_TEST_CASE(a_served_call_is_not_refused_if_servers_crash_together) {
  crashing_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.start();
    bool IsCrash = false;
    bool Holds = false;
    for (std::size_t Index = 0; Index < Mesh.size(); ++Index) {
      Mesh.worker(Index).Script.Crashes = [&](const request &) {
        return IsCrash;
      };
      Mesh.worker(Index).Script.MayAnswer = [&] { return !Holds; };
    }
    auto CallPage = [&](std::size_t Node, const std::string &Id) {
      return Mesh.call(Node, Mesh.get("/kassa/page", Id));
    };
    // Each server has answered the page before.
    for (unsigned Number = 0; Number < 60; ++Number) {
      auto Answer = co_await CallPage(Number % Mesh.size(),
                                      "before-" + std::to_string(Number));
      BOOST_TEST(statusOf(Answer) == 200u);
    }
    Holds = true;
    for (unsigned Number = 0; Number < 24; ++Number)
      asio::co_spawn(
          Mesh.context(),
          [&, Number]() -> awaitable<void> {
            co_await CallPage(Number % Mesh.size(),
                              "during-" + std::to_string(Number));
          },
          asio::detached);
    auto RunningServers = [&] {
      std::size_t Count = 0;
      for (std::size_t Index = 0; Index < Mesh.size(); ++Index)
        Count += Mesh.worker(Index).Running > 0 ? 1 : 0;
      return Count;
    };
    co_await Mesh.until([&] { return RunningServers() >= CrashesToRefuse; });
    IsCrash = true;
    Holds = false;
    co_await Mesh.until([&] { return Mesh.crashes() >= CrashesToRefuse; });
    co_await Mesh.pause(NewsTime);
    IsCrash = false;
    co_await Mesh.pause(seconds(2));
    for (std::size_t Index = 0; Index < Mesh.size(); ++Index) {
      auto Answer = co_await CallPage(Index, "after-" + std::to_string(Index));
      BOOST_TEST(statusOf(Answer) == 200u);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()
