// Tests that a backend server which names a rate limit in its answers gets no
// more calls than that from all nodes together.
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"
#include "net/clock.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

using request = http::request<http::string_body>;

constexpr milliseconds CallInterval{5};
constexpr int DeadlineMs = 600;
/// A server with a limit gets at most this in a window of 4 s.
constexpr seconds Window{4};
constexpr double AllowedFactor = 1.5;
constexpr double AllowedExtra = 5;

/// A mesh whose first server adds a field to its answers.
struct desk_mesh : mesh_fixture {
  using mesh_fixture::mesh_fixture;

  /// Lets the first server add this field to its answers.
  void addField(std::string Name, std::string Text) {
    worker(0).Script.Answer =
        [this, Name, Text](tcp::socket &Socket,
                           const request &Request) -> awaitable<void> {
      ArrivedAt.push_back(currentTime());
      text_answer Answer(http::status::ok, 11);
      Answer.set("Request-Id", Request["Request-Id"]);
      Answer.set("Response-Signature", "signed");
      Answer.set(Name, Text);
      Answer.prepare_payload();
      error_code Code;
      co_await http::async_write(Socket, Answer, orError(Code));
    };
  }
  /// Sends calls to a node at a fixed rate and waits for their answers.
  awaitable<void> sendCalls(std::size_t Node, seconds Duration) {
    instant Until = currentTime() + Duration;
    while (currentTime() < Until) {
      ++Open;
      asio::co_spawn(context(), sendCall(Node), asio::detached);
      co_await pause(CallInterval);
    }
    co_await until([this] { return Open == 0; });
  }
  awaitable<void> sendCall(std::size_t Node) {
    instant Started = currentTime();
    std::string Id = "c" + std::to_string(NextId);
    ++NextId;
    auto Answer = co_await call(Node, get("/desk/1", Id, DeadlineMs));
    ++Answers[statusOf(Answer)];
    LongestCall = std::max(LongestCall, currentTime() - Started);
    --Open;
  }
  /// Returns the most calls that the first server got in one window.
  std::size_t mostInWindow(milliseconds Length) const {
    std::size_t Most = 0;
    for (std::size_t First = 0; First < ArrivedAt.size(); ++First) {
      auto End = std::lower_bound(ArrivedAt.begin(), ArrivedAt.end(),
                                  ArrivedAt[First] + Length);
      Most = std::max<std::size_t>(
          Most, static_cast<std::size_t>(End - ArrivedAt.begin()) - First);
    }
    return Most;
  }

  std::vector<instant> ArrivedAt;
  std::map<unsigned, unsigned> Answers; ///< by status
  microseconds LongestCall{0};
  unsigned NextId = 0;
  unsigned Open = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(server_rate_limit)

// Guards against a home node that sends calls to its server up to the slots,
// whatever rate limit the server names.
BOOST_AUTO_TEST_CASE(a_server_gets_no_more_calls_than_the_limit_it_names) {
  desk_mesh Mesh({"desk", "desk"});
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    constexpr double Limit = 10;
    Mesh.addField("Server-Limit", "10.0");
    // The first answers name the limit.
    co_await Mesh.sendCalls(0, seconds(1));
    Mesh.ArrivedAt.clear();
    asio::co_spawn(Mesh.context(), Mesh.sendCalls(1, seconds(5)),
                   asio::detached);
    co_await Mesh.sendCalls(0, seconds(5));
    BOOST_TEST(static_cast<double>(Mesh.mostInWindow(Window)) <=
               AllowedFactor * Limit * Window.count() + AllowedExtra);
    // The other server has room for all other calls.
    BOOST_TEST(Mesh.Answers[200] > Mesh.NextId * 95 / 100);
  });
}

// Guards against a process that replaces an earlier one beside a running server
// and sends calls up to the slots until the first answer.
BOOST_AUTO_TEST_CASE(a_replaced_home_node_keeps_to_the_limit_from_the_start) {
  desk_mesh Mesh;
  Mesh.configure(1, {"desk", "kassa"});
  Mesh.addNode("desk", "zone-a", 64);
  Mesh.addNode("kassa");
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    constexpr double Limit = 2;
    constexpr unsigned Calls = 40;
    Mesh.addField("Server-Limit", "2");
    co_await Mesh.sendCalls(1, seconds(1));
    co_await Mesh.replaceNode(0);
    co_await Mesh.report(0);
    co_await Mesh.until([&] { return Mesh.node(1).knownServers() == 2; });
    co_await Mesh.pause(milliseconds(300));
    Mesh.worker(0).Script.Delay = milliseconds(400);
    Mesh.Answers.clear();
    std::size_t Before = Mesh.worker(0).Received.size();
    for (unsigned Call = 0; Call < Calls; ++Call) {
      ++Mesh.Open;
      asio::co_spawn(Mesh.context(), Mesh.sendCall(1), asio::detached);
    }
    co_await Mesh.until([&] { return Mesh.Open == 0; });
    double Sent = static_cast<double>(Mesh.worker(0).Received.size() - Before);
    BOOST_TEST(Sent > 0);
    BOOST_TEST(Sent <= AllowedFactor * Limit * Window.count() + AllowedExtra);
    // What the limit leaves no room for is refused as not run.
    BOOST_TEST(Mesh.Answers[503] >= Calls - static_cast<unsigned>(Sent));
  });
}

// Guards against a limit that outlives the answers that named it.
BOOST_AUTO_TEST_CASE(a_limit_ends_with_the_next_answer_without_it) {
  desk_mesh Mesh({"desk"});
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.addField("Server-Limit", "0");
    auto First = co_await Mesh.call(0, Mesh.get("/desk/1", "first"));
    BOOST_TEST(statusOf(First) == 200u);
    auto Refused = co_await Mesh.call(0, Mesh.get("/desk/1", "second", 500));
    BOOST_TEST(statusOf(Refused) == 503u);
    BOOST_TEST(std::stod(std::string((*Refused)["Retry-After"])) > 0);
    Mesh.addField("Other", "1");
    // A server that takes no calls is still asked now and then.
    co_await Mesh.pause(milliseconds(2'100));
    for (std::string Id : {"third", "fourth", "fifth"}) {
      auto Answer = co_await Mesh.call(0, Mesh.get("/desk/1", Id, 500));
      BOOST_TEST(statusOf(Answer) == 200u);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()
