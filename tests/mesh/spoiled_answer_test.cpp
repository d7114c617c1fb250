// Tests answers of faulty backend servers that go on behind the last chunk of
// their bodies.
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

  /// Sends an answer in chunks that ends with Trailer, if one is set, and
  /// closes the connection; otherwise a sound answer.
  awaitable<void> answer(tcp::socket &Socket, const request &Request) {
    std::string Head =
        "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Request["Request-Id"]) +
        "\r\nResponse-Signature: s\r\n";
    if (Trailer.empty())
      co_return co_await write(Socket, Head + "Content-Length: 0\r\n\r\n");
    co_await write(Socket, Head +
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "5\r\nwhole\r\n0\r\n" +
                               std::exchange(Trailer, ""));
    error_code Ignored;
    Socket.close(Ignored);
  }

  std::string Trailer; ///< of the next answer
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
          Mesh.Trailer = (IsName ? Text + ": b" : "A: " + Text) + End;
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

BOOST_AUTO_TEST_SUITE_END()
