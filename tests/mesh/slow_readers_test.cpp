// Callers that don't read their answers, on a node with few connections.
#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

/// More than the kernels of both sides hold.
constexpr std::size_t AnswerBytes = 12 << 20;
/// A quarter of them are for callers.
constexpr unsigned Descriptors = 40;
constexpr unsigned Crowd = Descriptors / 4;

using request = http::request<http::string_body>;

awaitable<void> answer(tcp::socket &Socket, const request &Request) {
  std::string Body(Request.target().ends_with("large") ? AnswerBytes : 2, 'a');
  co_await write(Socket, "HTTP/1.1 200 OK\r\nRequest-Id: " +
                             std::string(Request["Request-Id"]) +
                             "\r\nResponse-Signature: s\r\nContent-Length: " +
                             std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

/// Two nodes with servers of the service kassa, the first with few connections.
struct crowded_mesh : mesh_fixture {
  crowded_mesh() {
    configure(1, {"kassa"}, 10.0);
    MemoryBytes = std::uint64_t{2} << 30;
    MaxDescriptors = Descriptors;
    addNode("kassa", "zone-a", 16);
    MaxDescriptors = 1'024;
    addNode("kassa", "zone-a", 16);
    worker(0).Script.Answer = worker(1).Script.Answer = answer;
  }

  /// Asks a node for a large answer, and reads the first byte of it.
  awaitable<std::shared_ptr<tcp::socket>> ask(std::size_t Node,
                                              std::string Id) {
    auto Socket = std::make_shared<tcp::socket>(context());
    co_await Socket->async_connect(toTcp(node(Node).settings().Callers),
                                   asio::use_awaitable);
    co_await write(*Socket, get("/kassa/large", Id, 8'000));
    char Byte = 0;
    co_await asio::async_read(*Socket, asio::buffer(&Byte, 1),
                              asio::use_awaitable);
    co_return Socket;
  }

  /// Returns how many bytes of the answer come.
  awaitable<std::size_t> readRest(tcp::socket &Socket) {
    std::string Rest(AnswerBytes, ' ');
    error_code Code;
    co_return co_await asio::async_read(Socket, asio::buffer(Rest),
                                        orError(Code));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(slow_readers)

// Guards against a crowd that keeps out ordinary callers until the time for
// writing an answer has passed, and against answers that are ended in calm.
BOOST_AUTO_TEST_CASE(answers_that_nobody_reads_are_ended_for_other_callers) {
  crowded_mesh Mesh;
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    // It reads nothing either, for a longer time, on a node without a crowd.
    std::shared_ptr<tcp::socket> InCalm = co_await Mesh.ask(1, "calm");
    std::vector<std::shared_ptr<tcp::socket>> Unread;
    for (unsigned Number = 0; Number < Crowd; ++Number)
      Unread.push_back(co_await Mesh.ask(0, "crowd-" + std::to_string(Number)));
    auto Ordinary = co_await Mesh.call(0, Mesh.get("/kassa/small", "small"));
    BOOST_TEST(statusOf(Ordinary) == 200u);
    std::size_t Got = co_await Mesh.readRest(*Unread.front());
    BOOST_TEST(Got < AnswerBytes);
    Got = co_await Mesh.readRest(*InCalm);
    BOOST_TEST(Got == AnswerBytes);
  });
}

BOOST_AUTO_TEST_SUITE_END()
