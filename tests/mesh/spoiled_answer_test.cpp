// Tests answers of faulty backend servers that are no HTTP, or that go on
// behind the last chunk of their bodies.
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

using request = http::request<http::string_body>;

/// The HTTP library throws for a field whose name or value is longer.
constexpr std::size_t MaxLibraryBytes = 65'533;

/// An entry node, and a node beside a server of the service kassa.
struct kassa_mesh : mesh_fixture {
  kassa_mesh() : mesh_fixture({"desk", "kassa"}) {
    worker(1).Script.Answer = [this](tcp::socket &Socket,
                                     const request &Request) {
      return answer(Socket, Request);
    };
  }

  /// Sends an answer that begins with FaultyStart, or one in chunks that ends
  /// with Trailer, if one is set, and closes the connection; otherwise a sound
  /// answer.
  awaitable<void> answer(tcp::socket &Socket, const request &Request) {
    error_code Ignored;
    if (!FaultyStart.empty()) {
      co_await write(Socket, std::exchange(FaultyStart, "") + "Request-Id: " +
                                 std::string(Request["Request-Id"]) +
                                 "\r\nResponse-Signature: s\r\n"
                                 "Content-Length: 5\r\n\r\nwhole");
      Socket.close(Ignored);
      co_return;
    }
    std::string Head =
        "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Request["Request-Id"]) +
        "\r\nResponse-Signature: s\r\n";
    if (Trailer.empty())
      co_return co_await write(Socket, Head + "Content-Length: 0\r\n\r\n");
    co_await write(Socket, Head +
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "5\r\nwhole\r\n0\r\n" +
                               std::exchange(Trailer, ""));
    Socket.close(Ignored);
  }

  std::string FaultyStart; ///< of the next answer
  std::string Trailer;     ///< of the next answer
};

} // namespace

BOOST_AUTO_TEST_SUITE(spoiled_answer)

// Guards against a node that ends, with all its calls, because of the trailer
// of one answer.
BOOST_AUTO_TEST_CASE(a_trailer_of_any_size_fails_only_its_own_call) {
  kassa_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    for (std::size_t Size :
         {std::size_t(1), MaxLibraryBytes, MaxLibraryBytes + 1,
          MaxLibraryBytes + 3, std::size_t(70'000), std::size_t(200'000)})
      for (bool IsName : {true, false})
        for (std::string End : {"\r\n\r\n", "\r\n", ""}) {
          std::string Text(Size, 'a');
          Mesh.Trailer = IsName ? Text.append(": b") : Text.insert(0, "A: ");
          Mesh.Trailer += End;
          std::string Id =
              std::to_string(Size) + "-" + std::to_string(IsName) + End;
          auto Answer = co_await Mesh.call(
              0, Mesh.post("/pay/kassa/1", Id.substr(0, Id.find('\r')), "x"));
          BOOST_TEST((statusOf(Answer) == 502 ||
                      (statusOf(Answer) == 200 && Answer->body() == "whole")));
          auto Next = co_await Mesh.call(0, Mesh.get("/kassa/1", "next"));
          BOOST_TEST(statusOf(Next) == 200u);
        }
  });
}

// Guards against bytes that are no answer and reach a caller as one: an absurd
// status, or a field with an odd name or value.
BOOST_AUTO_TEST_CASE(an_answer_with_a_faulty_head_reaches_no_caller) {
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  std::string ManyFields = Ok;
  for (unsigned Field = 0; Field < 9'000; ++Field)
    ManyFields += "A:\r\n";
  const std::string Starts[] = {"HTTP/1.1 000 None\r\n",
                                "HTTP/1.1 099 None\r\n",
                                "HTTP/1.1 101 Switching Protocols\r\n",
                                "HTTP/1.1 600 None\r\n",
                                "HTTP/1.1 999 None\r\n",
                                Ok + "A b: c\r\n",
                                Ok + "A : c\r\n",
                                Ok + "A\x01: c\r\n",
                                Ok + "A\x7f: c\r\n",
                                Ok + std::string("A\0: c\r\n", 7),
                                Ok + ": c\r\n",
                                Ok + "A: b\x01\r\n",
                                Ok + "A: b\rContent-Length: 2\r\n",
                                Ok + "A: b\r\n c: d\r\n",
                                Ok + "Content-Length: 2\r\n",
                                Ok + "Transfer-Encoding: gzip, chunked\r\n",
                                ManyFields};
  kassa_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    unsigned Sent = 0;
    for (const std::string &Start : Starts)
      for (std::size_t Entry : {0, 1}) {
        Mesh.FaultyStart = Start;
        std::size_t Before = Mesh.worker(1).Received.size();
        std::string Id = "c" + std::to_string(Sent);
        ++Sent;
        auto Answer =
            co_await Mesh.call(Entry, Mesh.post("/pay/kassa/1", Id, "x"));
        BOOST_TEST(statusOf(Answer) == 502u, Start.substr(0, 50));
        BOOST_TEST(Mesh.worker(1).Received.size() == Before + 1);
        auto Next = co_await Mesh.call(Entry, Mesh.get("/kassa/1", "next"));
        BOOST_TEST(statusOf(Next) == 200u);
      }
  });
}

BOOST_AUTO_TEST_SUITE_END()
