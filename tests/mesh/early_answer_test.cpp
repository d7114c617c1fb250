// Tests answers that a backend server sends before it has read the request.
#include <boost/test/unit_test.hpp>

#include "mesh/worker_connection.h"
#include "net/clock.h"
#include "platform/http_protocol.h"
#include "stand_ins/scripted_http.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

constexpr std::size_t BodyBytes = 8 << 20; ///< more than sockets hold
constexpr std::size_t ReadBytes = 4 << 10;
const std::string Head =
    "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Signature: s\r\n";

/// Sends an upload to a server with this script and returns the answer.
mesh_answer answerOf(scripted_worker::script Script) {
  asio::io_context Context{1};
  scripted_worker Server(Context, std::move(Script));
  platform::http_call_protocol Protocol;
  body_memory Memory{body_account(256 << 20, door_limits())};
  std::optional<mesh_answer> Answer;
  asio::co_spawn(
      Context,
      [&]() -> awaitable<void> {
        mesh_call Call;
        Call.Id = request_id("r");
        Call.Method = "POST";
        Call.Target = "/upload";
        Call.Body =
            std::make_shared<const std::string>(std::string(BodyBytes, 'u'));
        worker_connect_result Connected = co_await connectToWorker(
            Server.bound(), seconds(1), Memory.Answers);
        BOOST_REQUIRE(Connected.Connection);
        header_list Fields{{"Host", "h"}};
        cancel_signal Cancel;
        Answer = co_await Connected.Connection->exchange(
            Call, Fields, Protocol, currentTime() + seconds(5), Cancel);
      },
      asio::detached);
  while (!Answer)
    Context.run_one();
  return std::move(*Answer);
}

/// Reads the first bytes of the request and answers.
awaitable<void> answerEarly(tcp::socket &Socket, std::string Answer) {
  std::string Read(ReadBytes, '\0');
  error_code Code;
  co_await Socket.async_read_some(asio::buffer(Read), orError(Code));
  co_await tests::write(Socket, std::move(Answer));
}

/// Reads until the other side has closed.
awaitable<void> readAll(tcp::socket &Socket) {
  std::string Read(64 << 10, '\0');
  error_code Code;
  while (!Code)
    co_await Socket.async_read_some(asio::buffer(Read), orError(Code));
}

} // namespace

BOOST_AUTO_TEST_SUITE(early_answer)

// Guards against a part of an answer that is taken as whole, since the write of
// the request got the report of the reset.
BOOST_AUTO_TEST_CASE(a_reset_during_the_upload_never_makes_an_answer_whole) {
  for (milliseconds ResetAfter :
       {milliseconds(0), milliseconds(1), milliseconds(20)})
    for (const std::string &Start :
         {Head + "\r\npart",
          "HTTP/1.0 200 OK" + Head.substr(Head.find('\r')) + "\r\npart",
          Head + "\r\n"})
      for (unsigned Round = 0; Round < 5; ++Round) {
        mesh_answer Answer =
            answerOf([&](tcp::socket &Socket) -> awaitable<void> {
              co_await answerEarly(Socket, Start);
              co_await sleepFor(ResetAfter);
              tests::reset(Socket);
            });
        BOOST_TEST(Answer.Status == 0u);
        BOOST_TEST((Answer.Outcome == attempt_outcome::lost));
      }
}

BOOST_AUTO_TEST_CASE(an_early_answer_with_a_length_is_whole) {
  mesh_answer Answer = answerOf([&](tcp::socket &Socket) -> awaitable<void> {
    co_await answerEarly(Socket, Head + "Content-Length: 5\r\n\r\nwhole");
    co_await sleepFor(milliseconds(20));
    tests::reset(Socket);
  });
  BOOST_TEST(Answer.Status == 200u);
  BOOST_REQUIRE(Answer.Body);
  BOOST_TEST(*Answer.Body == "whole");
}

// Guards against a sound answer that is lost: the server ends it, and then
// reads the rest of the request.
BOOST_AUTO_TEST_CASE(an_early_answer_without_a_length_is_whole_if_all_is_read) {
  mesh_answer Answer = answerOf([&](tcp::socket &Socket) -> awaitable<void> {
    co_await answerEarly(Socket, Head + "\r\nwhole");
    error_code Ignored;
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    co_await readAll(Socket);
  });
  BOOST_TEST(Answer.Status == 200u);
  BOOST_REQUIRE(Answer.Body);
  BOOST_TEST(*Answer.Body == "whole");
}

BOOST_AUTO_TEST_SUITE_END()
