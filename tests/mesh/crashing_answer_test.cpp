// Tests a request that crashes every backend server that runs it while the
// server answers, or after this node gave the call up.

#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

using request = http::request<http::string_body>;

/// Ends of servers after which a request is refused everywhere.
constexpr unsigned CrashesToRefuse = 3;
constexpr unsigned MaxRunsAfterwards = 3;
/// Requests that are sent after that.
constexpr unsigned RetriesAfterwards = 8;
/// Time in which the nodes learn of a crash.
constexpr milliseconds NewsTime{300};
const std::string Path = "/kassa/";

/// A way in which a server ends under a call.
struct server_end {
  std::string Name;
  /// What it sends before; ID stands for the id of the request.
  std::string Bytes;
  milliseconds CrashDelay{10};
  int DeadlineMs = 2'000;
  /// If not zero, the caller leaves after this time.
  milliseconds CallerLeavesAfter{0};
};

const std::string Head =
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n";

/// Servers of the service kassa that end under each request to Path + Name, and
/// a node beside each.
struct crashing_mesh : mesh_fixture {
  crashing_mesh() : mesh_fixture({"desk", "kassa", "kassa", "kassa", "kassa"}) {
    for (std::size_t Index = 0; Index < size(); ++Index) {
      worker(Index).Script.Crashes = [this](const request &Request) {
        return Request.target() == Path + End.Name;
      };
      worker(Index).Script.CrashBytes = [this](const request &Request) {
        std::string Bytes = End.Bytes;
        if (std::size_t At = Bytes.find("ID"); At != std::string::npos)
          Bytes.replace(At, 2, std::string(Request["Request-Id"]));
        return Bytes;
      };
    }
  }

  void setEnd(server_end NewEnd) {
    End = std::move(NewEnd);
    for (std::size_t Index = 0; Index < size(); ++Index)
      worker(Index).Script.CrashDelay = End.CrashDelay;
  }

  /// Sends the request to the next node, under a new id.
  awaitable<void> sendCrashing() {
    std::size_t Entry = Sent++ % size();
    std::string Id = End.Name + "-" + std::to_string(Sent);
    std::string Bytes = get(Path + End.Name, Id, End.DeadlineMs);
    caller Caller(context());
    co_await Caller.connect(node(Entry).settings().Callers);
    co_await Caller.send(std::move(Bytes));
    if (End.CallerLeavesAfter.count() > 0) {
      co_await pause(End.CallerLeavesAfter);
      co_return;
    }
    auto Answer = co_await Caller.read();
    BOOST_TEST(statusOf(Answer) >= 500u, End.Name);
  }

  /// Returns how often the request has reached servers.
  long runs() const { return runsOf(Path + End.Name); }

  /// Lets the request crash three servers and checks that it reaches few more.
  awaitable<void> checkRefusedAfterwards(server_end NewEnd) {
    setEnd(std::move(NewEnd));
    unsigned Before = crashes();
    for (unsigned Try = 0; Try < 20 && crashes() < Before + CrashesToRefuse;
         ++Try) {
      co_await sendCrashing();
      co_await pause(NewsTime);
    }
    BOOST_TEST(crashes() >= Before + CrashesToRefuse, End.Name);
    co_await serversAreBack();
    long RunsBefore = runs();
    for (unsigned Retry = 0; Retry < RetriesAfterwards; ++Retry) {
      co_await sendCrashing();
      co_await pause(milliseconds(100));
    }
    BOOST_TEST(runs() - RunsBefore <= MaxRunsAfterwards, End.Name);
    co_await serversAreBack();
  }

  /// Waits until all servers run and their nodes know it.
  awaitable<void> serversAreBack() { co_await pause(milliseconds(900)); }

private:
  server_end End;
  unsigned Sent = 0;
};

void check(const std::vector<server_end> &Ends) {
  crashing_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    for (const server_end &End : Ends)
      co_await Mesh.checkRefusedAfterwards(End);
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_answer)

// Guards against a request that crashes servers without end because they send
// part of an answer with a length before they end.
BOOST_AUTO_TEST_CASE(a_server_that_ends_within_its_answer_has_ended) {
  check({{"status-line", "HTTP/1.1 2"},
         {"field", "HTTP/1.1 200 OK\r\nReq"},
         {"body", Head + "Content-Length: 1500\r\n\r\npart"},
         {"chunk", Head + "Transfer-Encoding: chunked\r\n\r\n5\r\npa"}});
}

// The same after whole messages that are not the answer to the call.
BOOST_AUTO_TEST_CASE(a_server_that_ends_after_other_messages_has_ended) {
  check({{"interim", "HTTP/1.1 102 Processing\r\n\r\n"},
         {"other", "HTTP/1.1 200 OK\r\nRequest-Id: another\r\n"
                   "Content-Length: 0\r\n\r\n"}});
}

// Guards against a cut answer without a length that is passed on as whole and
// clears the request that crashed its server.
BOOST_AUTO_TEST_CASE(an_answer_without_length_is_cut_by_the_server_s_end) {
  check({{"unframed", Head + "\r\npart"}, {"unframed-empty", Head + "\r\n"}});
}

// Guards against a request that crashes servers without end because each time
// its node has given it up before the server ends.
BOOST_AUTO_TEST_CASE(a_server_that_ends_after_the_call_was_given_up_has_ended) {
  check({{"deadline", "", milliseconds(350), 200},
         {"caller-left", "", milliseconds(120), 2'000, milliseconds(60)}});
}

// Guards against requests that are refused since servers often end the
// connection to show the end of their answers.
BOOST_AUTO_TEST_CASE(an_answer_without_length_of_a_living_server_is_whole) {
  mesh_fixture Mesh({"desk", "kassa", "kassa"});
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    for (std::size_t Index = 0; Index < Mesh.size(); ++Index)
      Mesh.worker(Index).Script.Answer =
          [](tcp::socket &Socket, const request &Request) -> awaitable<void> {
        std::string Answer = Head + "\r\nwhole";
        Answer.replace(Answer.find("ID"), 2,
                       std::string(Request["Request-Id"]));
        co_await write(Socket, std::move(Answer));
        error_code Ignored;
        Socket.close(Ignored);
      };
    for (unsigned Number = 0; Number < 12; ++Number) {
      auto Answer = co_await Mesh.call(
          Number % Mesh.size(),
          Mesh.get("/kassa/sound", "sound-" + std::to_string(Number)));
      BOOST_TEST(statusOf(Answer) == 200u);
      BOOST_REQUIRE(Answer);
      BOOST_TEST(Answer->body() == "whole");
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()
