// Tests a link to a home node that is silent for a while.
#include <boost/test/unit_test.hpp>

#include "mesh/mesh_state.h"
#include "mesh/peer_hub.h"
#include "mesh_fixture.h"
#include "net/clock.h"
#include "platform/operator_json_format.h"

using namespace chivebeam;

namespace {

/// Runs a test on the context until the test stops it.
void run(asio::io_context &Context, awaitable<void> Test) {
  asio::co_spawn(Context, std::move(Test), [](std::exception_ptr Failure) {
    if (Failure)
      std::rethrow_exception(Failure);
  });
  Context.run_for(seconds(20));
}

} // namespace

BOOST_AUTO_TEST_SUITE(node_link)

// Guards against work that is given up or started again because the machine
// that runs it was only silent: suspended, or short of processor time.
BOOST_AUTO_TEST_CASE(a_silent_node_still_answers_a_call_that_can_t_move) {
  asio::io_context Context(1);
  platform::operator_json_format Format;
  mesh_settings Settings;
  Settings.Node = node_id("entry");
  mesh_state State(Settings, Format);
  tcp::acceptor Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0});
  body_memory Memory(body_account(1 << 20, door_limits()));
  auto Link = std::make_shared<peer_link>(
      Context, node_id("home"),
      address{"127.0.0.1", Acceptor.local_endpoint().port()}, State,
      Memory.Answers);
  std::shared_ptr<frame_channel> Server;
  std::vector<peer_frame> Received;
  std::map<std::string, mesh_answer> Answers;
  std::map<std::string, instant> AnsweredAt;
  instant Start = currentTime();
  bool Ended = false;

  auto SendCall = [&](std::string Id, bool Idempotent) {
    mesh_call Call;
    Call.Id = request_id(Id);
    Call.Idempotent = Idempotent;
    Call.Deadline = Start + seconds(5);
    Link->call(std::move(Call), cancel_signal(), [&, Id](mesh_answer Answer) {
      Answers[Id] = std::move(Answer);
      AnsweredAt[Id] = currentTime();
    });
  };
  auto Test = [&]() -> awaitable<void> {
    SendCall("payment", false);
    SendCall("read", true);
    error_code Code;
    tcp::socket Socket = co_await Acceptor.async_accept(orError(Code));
    Server = std::make_shared<frame_channel>(std::move(Socket));
    Server->start([&](peer_frame Frame) { Received.push_back(Frame); }, [] {});
    constexpr milliseconds Silence{1'500};
    for (; currentTime() < Start + Silence; Link->tick(currentTime()))
      co_await sleepFor(milliseconds(50));
    // The read may go elsewhere; nothing new is sent to the silent node.
    BOOST_TEST(Answers.contains("read"));
    BOOST_TEST(Answers["read"].Unreachable);
    BOOST_TEST(Answers["read"].Silent);
    BOOST_TEST((Answers["read"].Outcome == attempt_outcome::lost));
    BOOST_TEST(!Answers.contains("payment"));
    SendCall("later", false);
    co_await sleepFor(milliseconds(20));
    BOOST_TEST((Answers["later"].Outcome == attempt_outcome::not_sent));
    for (const peer_frame &Frame : Received)
      if (Frame.Kind == frame_kind::call) {
        peer_frame Reply;
        Reply.Kind = frame_kind::answer;
        Reply.Call = Frame.Call;
        Reply.Answer = emptyAnswer(attempt_outcome::answered, "");
        Reply.Answer->Status = 200;
        Server->send(Reply);
      }
    co_await sleepFor(milliseconds(50));
    BOOST_TEST(Answers["payment"].Status == 200u);
    BOOST_TEST(Answers["read"].Status == 200u);
    // The node is used again.
    SendCall("next", false);
    co_await sleepFor(milliseconds(50));
    BOOST_TEST(!Answers.contains("next"));
    Ended = true;
    Context.stop();
  };
  run(Context, Test());
  BOOST_TEST(Ended);
}

// Guards against a call that is given up because the record of its home node
// disappeared while it ran.
BOOST_AUTO_TEST_CASE(a_call_survives_that_its_node_is_no_longer_known) {
  asio::io_context Context(1);
  platform::operator_json_format Format;
  mesh_settings Settings;
  Settings.Node = node_id("entry");
  mesh_state State(Settings, Format);
  body_memory Memory(body_account(1 << 20, door_limits()));
  peer_hub Hub(Context, State, Memory.Answers);
  tcp::acceptor Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0});
  home_record Home;
  Home.Node = node_id("home");
  Home.Peer = {"127.0.0.1", Acceptor.local_endpoint().port()};
  Hub.setPeers({Home});
  std::optional<mesh_answer> Answer;
  bool Ended = false;
  auto Test = [&]() -> awaitable<void> {
    mesh_call Call;
    Call.Id = request_id("r");
    Call.Idempotent = true;
    Call.Deadline = currentTime() + seconds(5);
    Hub.call(Home.Node, std::move(Call), cancel_signal(),
             [&](mesh_answer Received) { Answer = std::move(Received); });
    error_code Code;
    tcp::socket Socket = co_await Acceptor.async_accept(orError(Code));
    auto Server = std::make_shared<frame_channel>(std::move(Socket));
    std::uint64_t Number = 0;
    Server->start(
        [&](peer_frame Frame) {
          if (Frame.Kind == frame_kind::call)
            Number = Frame.Call;
        },
        [] {});
    while (Number == 0)
      co_await sleepFor(milliseconds(5));
    Hub.setPeers({});
    co_await sleepFor(milliseconds(50));
    BOOST_TEST(!Answer.has_value());
    peer_frame Reply;
    Reply.Kind = frame_kind::answer;
    Reply.Call = Number;
    Reply.Answer = emptyAnswer(attempt_outcome::answered, "");
    Reply.Answer->Status = 200;
    Server->send(Reply);
    while (!Answer)
      co_await sleepFor(milliseconds(5));
    BOOST_TEST(Answer->Status == 200u);
    // Without open calls the link goes.
    Hub.setPeers({});
    BOOST_TEST(Hub.openLinks() == 0u);
    Ended = true;
    Context.stop();
  };
  run(Context, Test());
  BOOST_TEST(Ended);
}

BOOST_AUTO_TEST_SUITE_END()
