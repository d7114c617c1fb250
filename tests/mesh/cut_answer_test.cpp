// Tests answers that a server cuts at any byte, and refusals that it sends
// again.
#include <set>

#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

using request = http::request<http::string_body>;

const std::string Head =
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n";
const std::string WithLength = Head + "Content-Length: 5\r\n\r\nwhole";
const std::string InChunks =
    Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
const std::string WithoutLength = Head + "\r\nwhole";
const std::string Interim = "HTTP/1.1 102 Processing\r\n\r\n";

/// Puts the id of a request, of two characters, in the place of ID.
std::string withId(std::string Text, const request &Request) {
  return Text.replace(Text.find("ID"), 2, std::string(Request["Request-Id"]));
}

/// An entry node, and a node beside a server of the service kassa.
struct cut_mesh : mesh_fixture {
  cut_mesh() : mesh_fixture({"desk", "kassa"}) {}

  /// Lets the server send the first Size bytes of Text and then close, or
  /// reset, the connection.
  void cutAt(std::string Text, std::size_t Size, bool Resets) {
    worker(1).Script.Answer = [=](tcp::socket &Socket,
                                  const request &Request) -> awaitable<void> {
      co_await write(Socket, withId(Text, Request).substr(0, Size));
      if (Resets)
        co_return reset(Socket);
      error_code Ignored;
      Socket.close(Ignored);
    };
  }

  /// Sends one request through the node Entry and returns the answer.
  awaitable<std::optional<text_answer>> send(std::size_t Entry,
                                             std::string Method) {
    std::string Id(1, static_cast<char>('a' + Sent / 26 % 26));
    Id += static_cast<char>('a' + Sent++ % 26);
    caller Caller(context());
    co_await Caller.connect(node(Entry).settings().Callers);
    co_await Caller.send(
        Method + " /" + (Method == "POST" ? "pay/kassa/1" : "kassa/1") +
        " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + Id +
        "\r\nDeadline-Ms: 2000\r\n" +
        (Method == "POST" ? "Content-Length: 1\r\n\r\nx" : "\r\n"));
    co_return co_await Caller.read(Method == "HEAD");
  }

  unsigned Sent = 0;
};

/// Checks that no cut of the answer looks whole, on the server's own node and
/// from another one.
void checkCuts(const std::string &Text, bool Resets,
               const std::string &Method) {
  cut_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    for (std::size_t Size = 0; Size < Text.size(); ++Size) {
      Mesh.cutAt(Text, Size, Resets);
      auto Answer = co_await Mesh.send(Size % 2, Method);
      BOOST_TEST(statusOf(Answer) == 502u,
                 Method << " cut at " << Size << " of " << Text);
    }
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(cut_answer)

// Guards against an answer that is cut in its head or body and looks whole.
BOOST_AUTO_TEST_CASE(a_closed_connection_never_makes_a_cut_answer_whole) {
  for (const std::string &Text : {WithLength, InChunks, Interim + WithLength})
    for (std::string Method : {"POST", "GET"})
      checkCuts(Text, false, Method);
  checkCuts(WithLength.substr(0, WithLength.size() - 5), false, "HEAD");
  // Whatever follows the head of an answer without a length may be all of it.
  checkCuts(Head + "\r\n", false, "POST");
}

BOOST_AUTO_TEST_CASE(a_reset_never_makes_a_cut_answer_whole) {
  for (const std::string &Text : {WithLength, InChunks, WithoutLength})
    checkCuts(Text, true, "POST");
}

BOOST_AUTO_TEST_CASE(whole_answers_pass) {
  cut_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    for (const std::string &Text :
         {WithLength, InChunks, WithoutLength, Interim + WithLength}) {
      Mesh.cutAt(Text, Text.size(), false);
      auto Answer = co_await Mesh.send(0, "POST");
      BOOST_TEST(statusOf(Answer) == 200u, Text);
      BOOST_REQUIRE(Answer);
      BOOST_TEST(Answer->body() == "whole");
    }
  });
}

// Guards against a caller that is told that its call was not run, while a
// server runs it, because the server sends an earlier refusal of the same id
// once more.
BOOST_AUTO_TEST_CASE(an_earlier_refusal_is_no_answer_to_a_later_call) {
  mesh_fixture Mesh({"desk", "kassa", "kassa"});
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    unsigned Runs = 0;
    for (std::size_t Index : {1, 2}) {
      // The ports of the connections that carried a refusal.
      auto Refused = std::make_shared<std::set<unsigned>>();
      Mesh.worker(Index).Script.Answer =
          [&Runs, Refused](tcp::socket &Socket,
                           const request &Request) -> awaitable<void> {
        std::string Refusal =
            withId("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\n"
                   "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                   Request);
        bool IsFirst = Refused->empty();
        bool IsCarrier =
            !Refused->insert(Socket.remote_endpoint().port()).second;
        if (IsFirst || IsCarrier)
          co_await write(Socket, Refusal);
        if (IsFirst)
          co_return;
        ++Runs;
        co_await sleepFor(milliseconds(20));
        co_await write(Socket, withId(WithLength, Request));
      };
    }
    // The caller repeats the id of a call that was refused.
    auto First = co_await Mesh.call(0, Mesh.post("/pay/kassa/1", "aa", "x"));
    BOOST_TEST(statusOf(First) == 503u);
    auto Second = co_await Mesh.call(0, Mesh.post("/pay/kassa/1", "aa", "x"));
    BOOST_TEST(Runs == 1u);
    BOOST_TEST(statusOf(Second) == 200u);
  });
}

BOOST_AUTO_TEST_SUITE_END()
