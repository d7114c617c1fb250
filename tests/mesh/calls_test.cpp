// Tests of calls through a mesh of nodes: entry node, home node and backend
// server.
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"
#include "net/clock.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

/// A mesh of an entry node beside a backend server that gets no calls, and
/// Servers nodes beside backend servers of the service kassa.
struct kassa_mesh : mesh_fixture {
  explicit kassa_mesh(unsigned Servers, unsigned Slots = 4) {
    configure(1, {"desk", "kassa"});
    addNode("desk");
    for (unsigned Index = 0; Index < Servers; ++Index)
      addNode("kassa", "zone-a", Slots);
  }
  std::size_t received() {
    std::size_t Sum = 0;
    for (std::size_t Index = 1; Index <= servers(); ++Index)
      Sum += worker(Index).Received.size();
    return Sum;
  }
  std::size_t servers() { return size() - 1; }
};

using http_request_text = http::request<http::string_body>;

/// A script that sends these bytes, with each @ID replaced by the request's id,
/// and then closes the connection if Close is set.
worker_script rawAnswer(std::string Bytes, bool Close) {
  worker_script Script;
  Script.Answer = [Bytes,
                   Close](tcp::socket &Socket,
                          const http_request_text &Request) -> awaitable<void> {
    std::string Text = Bytes;
    std::string Id(Request["Request-Id"]);
    for (std::size_t At = Text.find("@ID"); At != std::string::npos;
         At = Text.find("@ID"))
      Text.replace(At, 3, Id);
    co_await write(Socket, Text);
    if (Close)
      Socket.close();
  };
  return Script;
}

std::string completeAnswer(std::string Id, std::string Body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
         "\r\nResponse-Signature: s\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

const std::string NotExecuted =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: "
    "@ID\r\nContent-Length: 0\r\n\r\n";

/// Time in which the first watcher is elected and has read the store.
constexpr seconds StartTime{2};

} // namespace

BOOST_AUTO_TEST_SUITE(calls)

BOOST_AUTO_TEST_CASE(a_call_reaches_a_backend_server_beside_another_node) {
  kassa_mesh Mesh(1);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    auto Answer =
        co_await Mesh.call(0, Mesh.post("/pay/kassa/1?q=2", "r1", "mats"));
    BOOST_TEST(statusOf(Answer) == 200u);
    BOOST_TEST(Answer->body() == "w-1:mats");
    BOOST_TEST((*Answer)["Response-Signature"] == "signed");
    auto &Received = Mesh.worker(1).Received;
    BOOST_REQUIRE(Received.size() == 1u);
    BOOST_TEST(Received[0]["Expected-Instance"] == "w-1");
    BOOST_TEST(Received[0]["Caller-Service"] == "desk");
    BOOST_TEST(Received[0]["Request-Id"] == "r1");
    BOOST_TEST(Received[0].target() == "/pay/kassa/1?q=2");
  });
}

BOOST_AUTO_TEST_CASE(a_call_without_a_route_gets_404_and_reaches_no_server) {
  kassa_mesh Mesh(1);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    // Until a watcher has read the store, the route may be in a configuration
    // that this node doesn't have.
    instant GiveUpAt = currentTime() + StartTime;
    auto Answer = co_await Mesh.call(0, Mesh.get("/nowhere/", "first"));
    while (statusOf(Answer) == 503u && currentTime() < GiveUpAt) {
      co_await Mesh.pause(milliseconds(5));
      Answer = co_await Mesh.call(0, Mesh.get("/nowhere/", "again"));
    }
    for (unsigned Number = 0; Number < 20; ++Number) {
      BOOST_TEST(statusOf(Answer) == 404u);
      Answer = co_await Mesh.call(0, Mesh.get("/nowhere/", "next"));
    }
    BOOST_TEST(Mesh.received() == 0u);
  });
}

BOOST_AUTO_TEST_CASE(a_call_refused_by_every_server_gets_503_and_retry_after) {
  kassa_mesh Mesh(2);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.worker(1).Script = rawAnswer(NotExecuted, false);
    Mesh.worker(2).Script = rawAnswer(NotExecuted, false);
    auto Refused = co_await Mesh.call(0, Mesh.post("/pay/kassa/1", "r1", "x"));
    BOOST_TEST(statusOf(Refused) == 503u);
    BOOST_TEST(!(*Refused)["Retry-After"].empty());
    BOOST_TEST(Mesh.received() == 2u);
    Mesh.worker(1).Script = {};
    Mesh.worker(2).Script = {};
    auto Served = co_await Mesh.call(0, Mesh.post("/pay/kassa/1", "r2", "x"));
    BOOST_TEST(statusOf(Served) == 200u);
  });
}

BOOST_AUTO_TEST_CASE(a_payment_whose_answer_is_lost_is_never_sent_again) {
  kassa_mesh Mesh(2);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    for (std::size_t Index : {1, 2})
      Mesh.worker(Index).Script = rawAnswer("", true);
    auto Answer = co_await Mesh.call(0, Mesh.post("/pay/kassa/1", "r1", "x"));
    BOOST_TEST(statusOf(Answer) == 502u);
    BOOST_TEST(Mesh.received() == 1u);
  });
}

BOOST_AUTO_TEST_CASE(a_read_whose_answer_is_lost_is_sent_to_another_server) {
  kassa_mesh Mesh(2);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    for (std::size_t Index : {1, 2})
      Mesh.worker(Index).Script = rawAnswer("", true);
    auto Failed = co_await Mesh.call(0, Mesh.get("/kassa/1", "r1"));
    BOOST_TEST(statusOf(Failed) == 502u);
    BOOST_TEST(Mesh.received() == 2u);
  });
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_call_is_discarded) {
  kassa_mesh Mesh(1);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.worker(1).Script = rawAnswer(completeAnswer("other", "foreign") +
                                          completeAnswer("@ID", "own"),
                                      false);
    auto Answer = co_await Mesh.call(0, Mesh.get("/kassa/1", "r1"));
    BOOST_TEST(statusOf(Answer) == 200u);
    BOOST_TEST(Answer->body() == "own");
  });
}

BOOST_AUTO_TEST_CASE(bytes_after_an_answer_reach_no_caller) {
  kassa_mesh Mesh(1);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.worker(1).Script =
        rawAnswer(completeAnswer("@ID", "first") +
                      completeAnswer("@ID", "second") + "garbage",
                  false);
    for (const std::string Id : {"r1", "r2"}) {
      auto Answer = co_await Mesh.call(0, Mesh.get("/kassa/1", Id));
      BOOST_TEST(statusOf(Answer) == 200u);
      BOOST_TEST(Answer->body() == "first");
      BOOST_TEST((*Answer)["Request-Id"] == Id);
    }
  });
}

BOOST_AUTO_TEST_CASE(a_truncated_or_malformed_answer_gives_502) {
  kassa_mesh Mesh(1);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    std::string Cut = completeAnswer("@ID", "0123456789");
    Cut.resize(Cut.size() - 4);
    for (const std::string &Bytes :
         {Cut, std::string("not an answer\r\n\r\n")}) {
      Mesh.worker(1).Script = rawAnswer(Bytes, true);
      auto Answer = co_await Mesh.call(0, Mesh.post("/pay/kassa/1", "r1", "x"));
      BOOST_TEST(statusOf(Answer) == 502u);
    }
  });
}

BOOST_AUTO_TEST_CASE(an_answer_that_ends_with_its_connection_is_whole) {
  kassa_mesh Mesh(1);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.worker(1).Script = rawAnswer("HTTP/1.1 200 OK\r\nRequest-Id: "
                                      "@ID\r\nResponse-Signature: s\r\n\r\nall",
                                      true);
    auto Answer = co_await Mesh.call(0, Mesh.get("/kassa/1", "r1"));
    BOOST_TEST(statusOf(Answer) == 200u);
    BOOST_TEST(Answer->body() == "all");
  });
}

BOOST_AUTO_TEST_CASE(a_500_answer_of_a_server_is_delivered_unchanged) {
  kassa_mesh Mesh(1);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.worker(1).Script = rawAnswer(
        "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: "
        "@ID\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\noops",
        false);
    auto Answer = co_await Mesh.call(0, Mesh.post("/pay/kassa/1", "r1", "x"));
    BOOST_TEST(statusOf(Answer) == 500u);
    BOOST_TEST((*Answer)["Response-Signature"] == "s");
    BOOST_TEST(Answer->body() == "oops");
  });
}

BOOST_AUTO_TEST_CASE(never_more_calls_run_than_the_server_has_slots) {
  kassa_mesh Mesh(1, 2);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.worker(1).Script.Delay = milliseconds(30);
    unsigned Ended = 0;
    for (int Call = 0; Call < 12; ++Call)
      asio::co_spawn(
          Mesh.context(),
          [](mesh_fixture &Mesh, unsigned &Ended, int Call) -> awaitable<void> {
            co_await Mesh.call(
                0, Mesh.get("/kassa/1", "r" + std::to_string(Call)));
            ++Ended;
          }(Mesh, Ended, Call),
          asio::detached);
    co_await Mesh.until([&] { return Ended == 12; });
    BOOST_TEST(Mesh.worker(1).MaxRunning <= 2u);
    BOOST_TEST(Mesh.worker(1).MaxRunning >= 1u);
  });
}

BOOST_AUTO_TEST_CASE(a_read_is_cancelled_when_its_caller_disconnects) {
  kassa_mesh Mesh(1);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    bool Cancelled = false;
    Mesh.worker(1).Script.Answer =
        [&](tcp::socket &Socket, const http_request_text &) -> awaitable<void> {
      char Byte = 0;
      error_code Code;
      co_await Socket.async_read_some(asio::buffer(&Byte, 1), orError(Code));
      Cancelled = static_cast<bool>(Code);
    };
    caller Caller(Mesh.context());
    co_await Caller.connect(Mesh.node(0).settings().Callers);
    co_await Caller.send(Mesh.get("/kassa/1", "r1", 20'000));
    co_await Mesh.until([&] { return Mesh.received() == 1; });
    Caller.close();
    co_await Mesh.until([&] { return Cancelled; });
  });
}

BOOST_AUTO_TEST_CASE(a_payment_runs_to_its_end_if_its_caller_disconnects) {
  kassa_mesh Mesh(1);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    bool Written = false;
    Mesh.worker(1).Script.Answer =
        [&](tcp::socket &Socket,
            const http_request_text &Request) -> awaitable<void> {
      co_await sleepFor(milliseconds(150));
      std::string Bytes =
          completeAnswer(std::string(Request["Request-Id"]), "paid");
      error_code Code;
      co_await asio::async_write(Socket, asio::buffer(Bytes), orError(Code));
      Written = !Code;
    };
    caller Caller(Mesh.context());
    co_await Caller.connect(Mesh.node(0).settings().Callers);
    co_await Caller.send(Mesh.post("/pay/kassa/1", "r1", "x", 1'900));
    co_await Mesh.until([&] { return Mesh.received() == 1; });
    Caller.close();
    co_await Mesh.until([&] { return Written; });
    // The connection to the backend server is still usable and carries the next
    // call.
    Mesh.worker(1).Script = {};
    auto Next = co_await Mesh.call(0, Mesh.post("/pay/kassa/1", "r2", "x"));
    BOOST_TEST(statusOf(Next) == 200u);
  });
}

BOOST_AUTO_TEST_CASE(a_call_gets_504_when_the_timeout_of_its_route_ends) {
  mesh_fixture Mesh;
  Mesh.configure(1, {"kassa"}, 0.2);
  Mesh.addNode("kassa");
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.worker(0).Script.Delay = seconds(30);
    auto Answer =
        co_await Mesh.call(0, Mesh.post("/pay/kassa/1", "r1", "x", 20'000));
    BOOST_TEST(statusOf(Answer) == 504u);
  });
}

// Guards against large bodies that arrive truncated or not at all when the link
// can't carry them all at once: they are offered to the home node, which admits
// a few at a time.
BOOST_AUTO_TEST_CASE(large_bodies_arrive_complete_over_a_slow_link) {
  mesh_fixture Mesh;
  Mesh.LinkBytesPerSecond = 2e6; // admits three bodies at a time
  Mesh.configure(1, {"desk", "kassa"});
  Mesh.addNode("desk");
  Mesh.addNode("kassa", "zone-a", 8);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    unsigned Open = 6;
    for (unsigned Call = 0; Call < 6; ++Call)
      asio::co_spawn(
          Mesh.context(),
          [&, Call]() -> awaitable<void> {
            std::string Body(40'000, static_cast<char>('a' + Call));
            auto Answer = co_await Mesh.call(
                0, Mesh.post("/pay/kassa/1", "p" + std::to_string(Call), Body));
            BOOST_TEST(statusOf(Answer) == 200u);
            BOOST_TEST((Answer && Answer->body() == "w-1:" + Body));
            --Open;
          },
          asio::detached);
    co_await Mesh.until([&] { return Open == 0; });
    BOOST_TEST(Mesh.worker(1).Received.size() == 6u);
  });
}

BOOST_AUTO_TEST_SUITE_END()
