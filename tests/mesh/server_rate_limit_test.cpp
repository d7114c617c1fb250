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

/// A mesh with two servers of one service, whose answers have more fields.
struct desk_mesh : mesh_fixture {
  desk_mesh() : mesh_fixture({"desk", "desk"}) {}

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
    auto Answer = co_await call(
        Node, get("/desk/1", "c" + std::to_string(++NextId), DeadlineMs));
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
  desk_mesh Mesh;
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

BOOST_AUTO_TEST_SUITE_END()
