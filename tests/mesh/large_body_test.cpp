// Tests large bodies on a connection between two nodes that carries other calls
// as well.
#include <algorithm>

#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"
#include "net/clock.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

using request = http::request<http::string_body>;

constexpr std::size_t Megabyte = 1 << 20;
constexpr milliseconds WorkTime{150};
constexpr milliseconds SmallInterval{20};

/// An entry node, and a node beside a server of the service kassa. The server
/// answers with the size of a request's body, and to /kassa/SIZE with SIZE
/// bytes.
struct upload_mesh : mesh_fixture {
  explicit upload_mesh(std::uint64_t HomeMemoryBytes = 256 << 20,
                       std::uint64_t EntryMemoryBytes = 256 << 20) {
    MaxBodyBytes = 64 * Megabyte;
    configure(1, {"desk", "kassa"}, 10.0);
    MemoryBytes = EntryMemoryBytes;
    addNode("desk");
    MemoryBytes = HomeMemoryBytes;
    addNode("kassa", "zone-a", 16);
    worker(1).Script.Delay = WorkTime;
    worker(1).Script.Answer = [](tcp::socket &Socket,
                                 const request &Request) -> awaitable<void> {
      std::string Body = std::to_string(Request.body().size());
      if (Request.method() == http::verb::get)
        Body.assign(std::stoul(std::string(Request.target()).substr(7)), 'a');
      co_await write(Socket, "HTTP/1.1 200 OK\r\nRequest-Id: " +
                                 std::string(Request["Request-Id"]) +
                                 "\r\nResponse-Signature: s\r\n"
                                 "Content-Length: " +
                                 std::to_string(Body.size()) + "\r\n\r\n" +
                                 Body);
    };
  }

  /// Starts an upload; its status and body size go to Results.
  void upload(std::string Id, std::size_t Bytes) {
    start(Id, post("/pay/kassa/1", Id, std::string(Bytes, 'p'), 8'000));
  }
  void download(std::string Id, std::size_t Bytes) {
    start(Id, get("/kassa/" + std::to_string(Bytes), Id, 8'000));
  }

  /// Asks for an answer of which only the first bytes are read; its status goes
  /// to Results.
  void askAndReadNothing(std::string Id, std::size_t Bytes) {
    ++Started;
    Unread.push_back(std::make_unique<tcp::socket>(context()));
    asio::co_spawn(
        context(),
        [this, Id, Bytes, &Socket = *Unread.back()]() -> awaitable<void> {
          co_await Socket.async_connect(toTcp(node(0).settings().Callers),
                                        asio::use_awaitable);
          co_await write(Socket,
                         get("/kassa/" + std::to_string(Bytes), Id, 8'000));
          std::string Start("HTTP/1.1 200");
          co_await asio::async_read(Socket, asio::buffer(Start),
                                    asio::use_awaitable);
          Results[Id].Status = std::stoul(Start.substr(9));
        },
        asio::detached);
  }

  awaitable<void> allEnded() {
    co_await until([this] { return Results.size() == Started; });
  }

  struct result {
    unsigned Status = 0;
    std::string Body;
  };
  std::map<std::string, result> Results;

private:
  void start(std::string Id, std::string Bytes) {
    ++Started;
    asio::co_spawn(
        context(),
        [this, Id, Bytes = std::move(Bytes)]() -> awaitable<void> {
          auto Answer = co_await call(0, Bytes);
          Results[Id] = {statusOf(Answer), Answer ? Answer->body() : ""};
        },
        asio::detached);
  }

  std::size_t Started = 0;
  std::vector<std::unique_ptr<tcp::socket>> Unread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(large_body)

// Guards against an upload that ends the connection between two nodes, and with
// it the other calls on it.
BOOST_AUTO_TEST_CASE(an_upload_does_not_end_the_calls_beside_it) {
  upload_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    for (unsigned Number = 0; Number < 30; ++Number) {
      if (Number == 10)
        Mesh.upload("large", 40 * Megabyte);
      Mesh.upload("small-" + std::to_string(Number), 60'000);
      co_await Mesh.pause(SmallInterval);
    }
    co_await Mesh.allEnded();
    for (const auto &[Id, Result] : Mesh.Results)
      BOOST_TEST(Result.Status == 200u, Id);
    BOOST_TEST(Mesh.Results["large"].Body == std::to_string(40 * Megabyte));
    BOOST_TEST(Mesh.worker(1).Received.size() == Mesh.Results.size());
  });
}

// The same for bodies that are too large only together.
BOOST_AUTO_TEST_CASE(uploads_at_the_same_time_do_not_end_their_connection) {
  upload_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    for (unsigned Number = 0; Number < 9; ++Number)
      Mesh.upload("upload-" + std::to_string(Number), 4 * Megabyte);
    co_await Mesh.allEnded();
    for (const auto &[Id, Result] : Mesh.Results)
      BOOST_TEST(Result.Body == std::to_string(4 * Megabyte), Id);
  });
}

// The same for answers.
BOOST_AUTO_TEST_CASE(answers_at_the_same_time_do_not_end_their_connection) {
  upload_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    for (unsigned Number = 0; Number < 3; ++Number)
      Mesh.download("download-" + std::to_string(Number), 12 * Megabyte);
    Mesh.download("small", 10);
    co_await Mesh.allEnded();
    for (const auto &[Id, Result] : Mesh.Results) {
      BOOST_TEST(Result.Status == 200u, Id);
      BOOST_TEST((Id == "small" || Result.Body.size() == 12 * Megabyte), Id);
    }
  });
}

// Guards against an entry node that uses up its memory for answers of other
// nodes. Load: callers that ask for large answers and don't read them.
BOOST_AUTO_TEST_CASE(unread_answers_of_other_nodes_fit_the_memory_for_bodies) {
  constexpr unsigned Callers = 8;
  constexpr std::size_t AnswerBytes = 12 * Megabyte;
  constexpr std::uint64_t EntryMemory = 80 * Megabyte;
  constexpr std::size_t MemoryForBodies = EntryMemory / 16 * 10;
  upload_mesh Mesh(1'024 * Megabyte, EntryMemory);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    for (unsigned Number = 0; Number < Callers; ++Number)
      Mesh.askAndReadNothing("unread-" + std::to_string(Number), AnswerBytes);
    co_await Mesh.allEnded();
    auto Served = static_cast<std::size_t>(std::count_if(
        Mesh.Results.begin(), Mesh.Results.end(),
        [](const auto &Item) { return Item.second.Status == 200; }));
    BOOST_TEST(Served > 0u);
    BOOST_TEST(Served * AnswerBytes <= MemoryForBodies);
    // Only these calls have failed, and not their link.
    Mesh.download("small", 20'000);
    co_await Mesh.allEnded();
    BOOST_TEST(Mesh.Results["small"].Status == 200u);
  });
}

// Guards against a node that uses up its memory for bodies that other nodes
// send, and against calls that wait although their body can't be taken.
BOOST_AUTO_TEST_CASE(
    a_body_without_memory_at_its_home_node_is_refused_at_once) {
  upload_mesh Mesh(32 * Megabyte);
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    instant Started = currentTime();
    Mesh.upload("large", 15 * Megabyte);
    co_await Mesh.allEnded();
    BOOST_TEST(Mesh.Results["large"].Status == 503u);
    BOOST_TEST((currentTime() - Started < milliseconds(1'000)));
    BOOST_TEST(Mesh.worker(1).Received.empty());
    Mesh.upload("fits", 12 * Megabyte);
    co_await Mesh.allEnded();
    BOOST_TEST(Mesh.Results["fits"].Status == 200u);
    // The memory is free again.
    Mesh.upload("next", 12 * Megabyte);
    co_await Mesh.allEnded();
    BOOST_TEST(Mesh.Results["next"].Status == 200u);
  });
}

BOOST_AUTO_TEST_SUITE_END()
