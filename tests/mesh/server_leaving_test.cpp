// Tests that a backend server which says in an answer that it leaves gets no
// further calls, although it has sent no report that it leaves.
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

using request = http::request<http::string_body>;

/// A mesh with two servers of one service and a node that only its callers use.
struct leaving_mesh : mesh_fixture {
  leaving_mesh() {
    configure(1, {"desk", "kassa"});
    addNode("desk");
    addNode("desk");
    addNode("kassa");
  }

  /// Lets the first server say in its answers that it leaves.
  void beginLeaving(http::status Status = http::status::ok) {
    worker(0).Script.Answer =
        [Status](tcp::socket &Socket,
                 const request &Request) -> awaitable<void> {
      text_answer Answer(Status, 11);
      Answer.set("Request-Id", Request["Request-Id"]);
      Answer.set("Response-Signature", "signed");
      Answer.set("Server-Leaving", "1");
      Answer.prepare_payload();
      error_code Code;
      co_await http::async_write(Socket, Answer, orError(Code));
    };
  }
  /// Sends calls to a node until one reaches the first server.
  awaitable<void> callFirstServer(std::size_t Node) {
    std::size_t Before = worker(0).Received.size();
    while (worker(0).Received.size() == Before)
      co_await callDesk(Node);
  }
  awaitable<unsigned> callDesk(std::size_t Node) {
    std::string Id = "c" + std::to_string(NextId);
    ++NextId;
    co_return statusOf(co_await call(Node, get("/desk/1", Id)));
  }
  /// Sends calls to each node; returns how many reached the first server.
  awaitable<std::size_t> callsAtFirstServer() {
    std::size_t Before = worker(0).Received.size();
    for (unsigned Round = 0; Round < 20; ++Round)
      for (std::size_t Node = 0; Node < size(); ++Node) {
        unsigned Status = co_await callDesk(Node);
        BOOST_TEST(Status == 200u);
      }
    co_return worker(0).Received.size() - Before;
  }

  unsigned NextId = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(server_leaving)

// Guards against calls to a server that has said in an answer that it leaves.
BOOST_AUTO_TEST_CASE(a_server_gets_no_calls_after_an_answer_that_it_leaves) {
  leaving_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.beginLeaving();
    co_await Mesh.callFirstServer(2);
    std::size_t Calls = co_await Mesh.callsAtFirstServer();
    BOOST_TEST(Calls == 0u);
    // A report that was sent before does not bring it back.
    co_await Mesh.report(0);
    Calls = co_await Mesh.callsAtFirstServer();
    BOOST_TEST(Calls == 0u);
  });
}

// Guards against an error answer whose header is not read.
BOOST_AUTO_TEST_CASE(a_failed_answer_also_says_that_the_server_leaves) {
  leaving_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.beginLeaving(http::status::internal_server_error);
    co_await Mesh.callFirstServer(2);
    std::size_t Calls = co_await Mesh.callsAtFirstServer();
    BOOST_TEST(Calls == 0u);
  });
}

// Guards against an entry node that forgets that a server leaves when another
// process runs beside the server and can't learn it from the store.
BOOST_AUTO_TEST_CASE(an_entry_node_remembers_while_the_home_node_restarts) {
  leaving_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.beginLeaving();
    co_await Mesh.callFirstServer(2);
    Mesh.node(0).beginStop();
    co_await Mesh.until([&] { return Mesh.stopped(0); });
    Mesh.store().remove("chivebeam-server/node-0");
    co_await Mesh.replaceNode(0);
    co_await Mesh.report(0);
    co_await Mesh.pause(milliseconds(500));
    std::size_t Before = Mesh.worker(0).Received.size();
    for (unsigned Call = 0; Call < 40; ++Call) {
      unsigned Status = co_await Mesh.callDesk(2);
      BOOST_TEST(Status == 200u);
    }
    BOOST_TEST(Mesh.worker(0).Received.size() == Before);
  });
}

// Guards against a predecessor's answer that marks the next start.
BOOST_AUTO_TEST_CASE(another_start_of_the_server_gets_calls_again) {
  leaving_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    Mesh.beginLeaving();
    co_await Mesh.callFirstServer(2);
    std::size_t Calls = co_await Mesh.callsAtFirstServer();
    BOOST_TEST(Calls == 0u);
    Mesh.worker(0).Script = {};
    ++Mesh.worker(0).StartedAtMs;
    Mesh.worker(0).Sequence = 0;
    co_await Mesh.report(0);
    for (std::size_t Node : {std::size_t(0), std::size_t(2)})
      co_await Mesh.callFirstServer(Node);
  });
}

BOOST_AUTO_TEST_SUITE_END()
