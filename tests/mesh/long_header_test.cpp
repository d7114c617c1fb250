// Tests requests whose headers are inside a generous limit of the operator, but
// can't be held or sent to another node.
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

BOOST_AUTO_TEST_SUITE(long_header)

// Guards against a connection that closes without an answer because the HTTP
// library throws for a field, and against a link between nodes that closes with
// all its calls because of one call's fields.
BOOST_AUTO_TEST_CASE(a_request_that_can_t_be_passed_on_gets_431) {
  mesh_fixture Mesh;
  Mesh.MaxHeaderBytes = 256 << 10;
  Mesh.configure(1, {"desk", "kassa"});
  Mesh.addNode("desk");
  Mesh.addNode("kassa");
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    std::string ManyFields;
    for (unsigned Field = 0; Field < 9'000; ++Field)
      ManyFields += "A: b\r\n";
    const std::string Start = "GET /kassa/1 HTTP/1.1\r\nHost: shop.example\r\n"
                              "Request-Id: long\r\n";
    std::vector<std::string> Headers{ManyFields};
    for (std::size_t Size : {65'534, 70'000}) {
      Headers.push_back("A: " + std::string(Size, 'a') + "\r\n");
      Headers.push_back(std::string(Size, 'a') + ": b\r\n");
    }
    for (const std::string &Fields : Headers) {
      std::string Request = Start + Fields + "\r\n";
      auto Answer = co_await Mesh.call(0, Request);
      BOOST_TEST(statusOf(Answer) == 431u);
      auto Next = co_await Mesh.call(0, Mesh.get("/kassa/1", "next"));
      BOOST_TEST(statusOf(Next) == 200u);
    }
    std::string Sound = Start + "A: " + std::string(7'000, 'a') + "\r\n\r\n";
    auto Answer = co_await Mesh.call(0, Sound);
    BOOST_TEST(statusOf(Answer) == 200u);
  });
}

BOOST_AUTO_TEST_SUITE_END()
