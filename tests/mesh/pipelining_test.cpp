// Tests callers that send further requests before the first is answered.
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

/// A backend server whose answers to targets with "slow" wait until Release is
/// set.
struct held_answers {
  explicit held_answers(mesh_fixture &Owner) : Mesh(Owner) {
    Mesh.worker(0).Script.Answer =
        [this](tcp::socket &Socket,
               const http::request<http::string_body> &Request)
        -> awaitable<void> {
      bool IsSlow = Request.target().find("slow") != std::string_view::npos;
      if (IsSlow)
        co_await Mesh.until([this] { return Release; });
      text_answer Answer(http::status::ok, 11);
      Answer.set("Request-Id", Request["Request-Id"]);
      Answer.body() = std::string(Request.target());
      Answer.prepare_payload();
      error_code Code;
      co_await http::async_write(Socket, Answer, orError(Code));
    };
  }

  mesh_fixture &Mesh;
  bool Release = false;
};

std::string bodyOf(const std::optional<text_answer> &Answer) {
  return Answer ? Answer->body() : "";
}

} // namespace

BOOST_AUTO_TEST_SUITE(pipelining)

// Guards against reads that wait behind the answer to an earlier one, and
// against answers that get to the wrong request.
BOOST_AUTO_TEST_CASE(reads_sent_ahead_run_at_once_and_are_answered_in_order) {
  mesh_fixture Mesh({"desk"});
  held_answers Server(Mesh);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    caller Caller(Mesh.context());
    co_await Caller.connect(Mesh.node(0).settings().Callers);
    co_await Caller.send(Mesh.get("/desk/slow", "a") +
                         Mesh.get("/desk/2", "b") + Mesh.get("/none", "c") +
                         Mesh.get("/desk/4", "d"));
    co_await Mesh.until([&] { return Mesh.worker(0).Received.size() == 3; });
    Server.Release = true;
    BOOST_TEST(bodyOf(co_await Caller.read()) == "/desk/slow");
    BOOST_TEST(bodyOf(co_await Caller.read()) == "/desk/2");
    auto Refusal = co_await Caller.read();
    BOOST_REQUIRE(Refusal);
    BOOST_TEST((*Refusal)["Request-Id"] == "c");
    BOOST_TEST(bodyOf(co_await Caller.read()) == "/desk/4");
  });
}

// Guards against a payment that runs although the caller may have to send it
// again, since the connection can end before its answer's turn; and against a
// read that overtakes a payment.
BOOST_AUTO_TEST_CASE(a_payment_sent_ahead_starts_after_the_earlier_answers) {
  mesh_fixture Mesh({"desk"});
  held_answers Server(Mesh);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    caller Caller(Mesh.context());
    co_await Caller.connect(Mesh.node(0).settings().Callers);
    co_await Caller.send(Mesh.get("/desk/slow", "a") +
                         Mesh.post("/pay/desk/2", "b", "x") +
                         Mesh.get("/desk/3", "c"));
    co_await Mesh.until([&] { return Mesh.worker(0).Received.size() == 1; });
    co_await Mesh.pause(milliseconds(100));
    BOOST_TEST(Mesh.worker(0).Received.size() == 1u);
    Server.Release = true;
    for (std::string Target : {"/desk/slow", "/pay/desk/2", "/desk/3"})
      BOOST_TEST(bodyOf(co_await Caller.read()) == Target);
    BOOST_TEST(Mesh.worker(0).MaxRunning == 1u);
  });
}

// Guards against calls that go on for a caller that has left, and against the
// start of requests that it had sent ahead.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_cancels_all_its_calls) {
  mesh_fixture Mesh({"desk"});
  unsigned Cancelled = 0;
  Mesh.worker(0).Script.Answer =
      [&](tcp::socket &Socket,
          const http::request<http::string_body> &) -> awaitable<void> {
    char Byte = 0;
    error_code Code;
    co_await Socket.async_read_some(asio::buffer(&Byte, 1), orError(Code));
    Cancelled += Code ? 1 : 0;
  };
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    caller Caller(Mesh.context());
    co_await Caller.connect(Mesh.node(0).settings().Callers);
    co_await Caller.send(Mesh.get("/desk/1", "a", 20'000) +
                         Mesh.get("/desk/2", "b", 20'000) +
                         Mesh.post("/pay/desk/3", "c", "x", 20'000));
    co_await Mesh.until([&] { return Mesh.worker(0).Received.size() == 2; });
    Caller.close();
    co_await Mesh.until([&] { return Cancelled == 2; });
    co_await Mesh.pause(milliseconds(100));
    BOOST_TEST(Mesh.runsOf("/pay/desk/3") == 0);
  });
}

// Guards against a request that runs behind an answer that closes the
// connection, which its caller sends again, and against one slow answer that
// makes a node hold any number of answers.
BOOST_AUTO_TEST_CASE(requests_behind_the_end_or_the_limit_do_not_start) {
  mesh_fixture Mesh({"desk"});
  held_answers Server(Mesh);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    caller Caller(Mesh.context());
    co_await Caller.connect(Mesh.node(0).settings().Callers);
    std::string Closing = Mesh.get("/desk/close", "x");
    Closing.insert(Closing.size() - 2, "Connection: close\r\n");
    std::string Requests = Mesh.get("/desk/slow", "a");
    for (unsigned Number = 1; Number <= answer_queue::MaxAnswers; ++Number)
      Requests += Mesh.get("/desk/" + std::to_string(Number),
                           "b" + std::to_string(Number));
    co_await Caller.send(Requests + Closing + Mesh.get("/desk/behind", "y"));
    std::size_t Limit = answer_queue::MaxAnswers;
    co_await Mesh.until(
        [&] { return Mesh.worker(0).Received.size() == Limit; });
    co_await Mesh.pause(milliseconds(100));
    BOOST_TEST(Mesh.worker(0).Received.size() == Limit);
    Server.Release = true;
    for (std::size_t Number = 0; Number < Limit + 2; ++Number)
      BOOST_TEST(statusOf(co_await Caller.read()) == 200u);
    BOOST_TEST(co_await Caller.ended());
    BOOST_TEST(Mesh.runsOf("/desk/behind") == 0);
  });
}

// Guards against calls that are lost because a stopping node closes the
// connection behind the first of several answers.
BOOST_AUTO_TEST_CASE(a_stopping_node_answers_all_calls_that_it_started) {
  mesh_fixture Mesh({"desk"});
  held_answers Server(Mesh);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    caller Caller(Mesh.context());
    co_await Caller.connect(Mesh.node(0).settings().Callers);
    co_await Caller.send(Mesh.get("/desk/slow/1", "a") +
                         Mesh.get("/desk/slow/2", "b"));
    co_await Mesh.until([&] { return Mesh.worker(0).Received.size() == 2; });
    Mesh.node(0).beginStop();
    co_await Caller.send(Mesh.get("/desk/3", "c"));
    co_await Mesh.pause(milliseconds(100));
    Server.Release = true;
    auto First = co_await Caller.read();
    BOOST_REQUIRE(First);
    BOOST_TEST((*First)["Connection"] == "");
    auto Second = co_await Caller.read();
    BOOST_REQUIRE(Second);
    BOOST_TEST((*Second)["Connection"] == "close");
    BOOST_TEST(Mesh.runsOf("/desk/3") == 0);
  });
}

// Guards against answers that are lost since the next request does not arrive
// completely.
BOOST_AUTO_TEST_CASE(half_a_request_costs_no_earlier_answer) {
  mesh_fixture Mesh({"desk"});
  held_answers Server(Mesh);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.configure(2, {"desk"}, 10);
    co_await Mesh.until([&] { return Mesh.hasConfig(0, 2); });
    caller Caller(Mesh.context());
    co_await Caller.connect(Mesh.node(0).settings().Callers);
    co_await Caller.send(Mesh.get("/desk/slow", "a", 10'000) + "GET /de");
    // Longer than the time in which a header must arrive.
    co_await Mesh.pause(milliseconds(3'300));
    Server.Release = true;
    BOOST_TEST(bodyOf(co_await Caller.read()) == "/desk/slow");
    BOOST_TEST(statusOf(co_await Caller.read()) == 408u);
    BOOST_TEST(co_await Caller.ended());
  });
}

BOOST_AUTO_TEST_SUITE_END()
