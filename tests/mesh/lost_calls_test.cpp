// Tests that a call at which a backend server is at work is not given up.
#include <boost/test/unit_test.hpp>

#include <thread>

#include "mesh_fixture.h"
#include "net/clock.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

/// A home node whose answers the test decides. It answers no ping.
class home_stand_in {
public:
  using call_handler = std::function<void(std::uint64_t)>;

  home_stand_in(mesh_fixture &Mesh, std::string Name, std::string Service)
      : Acceptor(Mesh.context(), {asio::ip::make_address("127.0.0.1"), 0}) {
    Record.Node = node_id(Name);
    Record.Peer = {"127.0.0.1", Acceptor.local_endpoint().port()};
    Record.Domain = failure_domain("zone-a");
    Record.Start = {worker_id("w-" + Name), 1};
    Record.Report = 1;
    Record.Change = 1;
    Record.Worker.Service = service_name(Service);
    Record.Worker.Version = version_name("v1");
    Record.Worker.Slots = 16;
    Record.Worker.State = worker_state::ready;
    asio::co_spawn(Mesh.context(), acceptLoop(), asio::detached);
  }

  /// Sends the record of this node to another one.
  awaitable<void> introduceTo(const mesh_node &Node) {
    tcp::socket Socket(co_await asio::this_coro::executor);
    error_code Code;
    co_await Socket.async_connect(toTcp(Node.settings().Peers), orError(Code));
    BOOST_REQUIRE(!Code);
    Introduction = std::make_shared<frame_channel>(std::move(Socket));
    Introduction->start([](peer_frame) {}, [] {});
    Introduction->send(hello());
  }
  void answer(std::uint64_t Call, mesh_answer Answer) {
    peer_frame Reply;
    Reply.Kind = frame_kind::answer;
    Reply.Call = Call;
    Reply.Answer = std::move(Answer);
    Channels[ChannelOf.at(Call)]->send(Reply);
  }

  call_handler OnCall;
  std::size_t Cancelled = 0;
  bool Greets = false; ///< sends its record on new connections
  /// Frames on earlier connections are ignored, as if these were silent.
  std::size_t FirstAlive = 0;
  std::size_t connections() const { return Channels.size(); }

private:
  awaitable<void> acceptLoop() {
    for (;;) {
      error_code Code;
      tcp::socket Socket = co_await Acceptor.async_accept(orError(Code));
      if (Code)
        co_return;
      std::size_t Index = Channels.size();
      Channels.push_back(std::make_shared<frame_channel>(std::move(Socket)));
      Channels.back()->start(
          [this, Index](peer_frame Frame) {
            if (Index < FirstAlive)
              return;
            if (Frame.Kind == frame_kind::call) {
              ChannelOf[Frame.Call] = Index;
              OnCall(Frame.Call);
            }
            Cancelled += Frame.Kind == frame_kind::cancel ? 1 : 0;
          },
          [] {});
      if (Greets)
        Channels.back()->send(hello());
    }
  }
  peer_frame hello() const {
    peer_frame Hello;
    Hello.Kind = frame_kind::hello;
    Hello.Records.push_back(Record);
    return Hello;
  }

  tcp::acceptor Acceptor;
  home_record Record;
  std::shared_ptr<frame_channel> Introduction;
  std::vector<std::shared_ptr<frame_channel>> Channels;
  std::map<std::uint64_t, std::size_t> ChannelOf; ///< by call number
};

mesh_answer okAnswer() {
  mesh_answer Answer = emptyAnswer(attempt_outcome::answered, "");
  Answer.Status = 200;
  return Answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lost_calls)

// Guards against a read that gets an answer of the entry node's own, while a
// home node that was silent for a moment still runs it, because the other home
// nodes refused it.
BOOST_AUTO_TEST_CASE(a_read_refused_elsewhere_gets_the_silent_nodes_answer) {
  constexpr unsigned Calls = 8;
  mesh_fixture Mesh;
  Mesh.configure(1, {"front", "desk"}, 5.0);
  Mesh.addNode("front");
  home_stand_in Slow(Mesh, "slow", "desk");
  home_stand_in Full(Mesh, "full", "desk");
  std::vector<std::uint64_t> Running;
  Slow.OnCall = [&](std::uint64_t Call) { Running.push_back(Call); };
  Full.OnCall = [&](std::uint64_t Call) {
    mesh_answer Refusal = emptyAnswer(attempt_outcome::not_sent, "full");
    Refusal.RetryAfter = milliseconds(30);
    Refusal.Load.Limit = 1;
    Full.answer(Call, std::move(Refusal));
  };
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await Slow.introduceTo(Mesh.node(0));
    co_await Full.introduceTo(Mesh.node(0));
    co_await Mesh.until([&] { return Mesh.node(0).knownServers() == 3; });
    std::vector<unsigned> Statuses;
    for (unsigned Call = 0; Call < Calls; ++Call)
      asio::co_spawn(
          Mesh.context(),
          [&Mesh, &Statuses, Call]() -> awaitable<void> {
            auto Answer = co_await Mesh.call(
                0, Mesh.get("/desk/1", "r" + std::to_string(Call), 5'000));
            Statuses.push_back(statusOf(Answer));
          },
          asio::detached);
    co_await Mesh.until([&] { return Running.size() == Calls; });
    // Longer than the silence after which a read may go elsewhere.
    co_await Mesh.pause(milliseconds(1'200));
    for (std::uint64_t Call : Running)
      Slow.answer(Call, okAnswer());
    co_await Mesh.until([&] { return Statuses.size() == Calls; });
    for (unsigned Status : Statuses)
      BOOST_TEST(Status == 200u);
    BOOST_TEST(Slow.Cancelled == 0u);
  });
}

// Guards against a request that is lost because a stopping node closes a
// connection as idle, on which the request has arrived but was not read yet.
BOOST_AUTO_TEST_CASE(a_request_on_a_connection_about_to_close_is_answered) {
  mesh_fixture Mesh({"desk"});
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    tcp::socket Socket(Mesh.context());
    error_code Code;
    co_await Socket.async_connect(toTcp(Mesh.node(0).settings().Callers),
                                  orError(Code));
    co_await Mesh.pause(milliseconds(50));
    Mesh.node(0).beginStop();
    co_await Mesh.pause(milliseconds(2'700));
    // Both this timer and that of the stopping node expire while the thread
    // sleeps, so the request is sent just before the node closes connections.
    asio::steady_timer Timer(Mesh.context(), milliseconds(1));
    std::string Request = Mesh.get("/desk/1", "crossing");
    Timer.async_wait([&](error_code) {
      error_code Failure;
      asio::write(Socket, asio::buffer(Request), Failure);
      BOOST_TEST(!Failure);
    });
    std::this_thread::sleep_for(milliseconds(250));
    beast::flat_buffer Buffer;
    text_answer Answer;
    co_await http::async_read(Socket, Buffer, Answer, orError(Code));
    BOOST_TEST(!Code);
    BOOST_TEST(Answer.result_int() == 503u);
  });
}

// Guards against a stopping node whose process ends while an answer that its
// backend server has made is still on the way to the caller.
BOOST_AUTO_TEST_CASE(a_stopping_node_ends_after_its_answers_are_sent) {
  constexpr std::size_t AnswerBytes = 12 << 20;
  mesh_fixture Mesh({"desk"});
  Mesh.worker(0).Script.Answer =
      [](tcp::socket &Socket,
         const http::request<http::string_body> &Request) -> awaitable<void> {
    text_answer Answer(http::status::ok, 11);
    Answer.set("Request-Id", Request["Request-Id"]);
    Answer.body() = std::string(AnswerBytes, 'x');
    Answer.prepare_payload();
    error_code Code;
    co_await http::async_write(Socket, Answer, orError(Code));
  };
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    tcp::socket Socket(Mesh.context());
    error_code Code;
    co_await Socket.async_connect(toTcp(Mesh.node(0).settings().Callers),
                                  orError(Code));
    std::string Request = Mesh.get("/desk/1", "large", 9'000);
    co_await asio::async_write(Socket, asio::buffer(Request), orError(Code));
    co_await Mesh.until([&] { return Mesh.worker(0).Received.size() == 1; });
    Mesh.node(0).beginStop();
    co_await Mesh.pause(milliseconds(3'600));
    BOOST_TEST(!Mesh.stopped(0));
    beast::flat_buffer Buffer;
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(AnswerBytes);
    co_await http::async_read(Socket, Buffer, Parser, orError(Code));
    BOOST_TEST(!Code);
    BOOST_TEST(Parser.get().body().size() == AnswerBytes);
    co_await Mesh.until([&] { return Mesh.stopped(0); });
  });
}

// Guards against a stopping home node whose process ends while an answer is
// still on the way to the entry node.
BOOST_AUTO_TEST_CASE(a_stopping_home_node_ends_after_its_answers_are_sent) {
  constexpr std::size_t AnswerBytes = 15 << 20;
  mesh_fixture Mesh({"desk"});
  Mesh.worker(0).Script.Answer =
      [](tcp::socket &Socket,
         const http::request<http::string_body> &Request) -> awaitable<void> {
    text_answer Answer(http::status::ok, 11);
    Answer.set("Request-Id", Request["Request-Id"]);
    Answer.body() = std::string(AnswerBytes, 'x');
    Answer.prepare_payload();
    error_code Code;
    co_await http::async_write(Socket, Answer, orError(Code));
  };
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    tcp::socket Socket(Mesh.context());
    error_code Code;
    Socket.open(tcp::v4(), Code);
    // Most of the answer waits in the node.
    Socket.set_option(asio::socket_base::receive_buffer_size(64 << 10), Code);
    co_await Socket.async_connect(toTcp(Mesh.node(0).settings().Peers),
                                  orError(Code));
    peer_frame Frame;
    Frame.Kind = frame_kind::call;
    Frame.Call = 1;
    Frame.Request.emplace();
    Frame.Request->Id = request_id("large");
    Frame.Request->Worker = worker_id("w-0");
    Frame.Request->Method = "GET";
    Frame.Request->Target = "/desk/1";
    Frame.Request->Fields.push_back({"Request-Id", "large"});
    Frame.Request->Goal = currentTime() + seconds(9);
    Frame.Request->Deadline = currentTime() + seconds(9);
    std::string Bytes = encodeFrameHead(Frame, currentTime());
    co_await asio::async_write(Socket, asio::buffer(Bytes), orError(Code));
    co_await Mesh.until([&] { return Mesh.worker(0).Received.size() == 1; });
    Mesh.node(0).beginStop();
    instant CheckAt = currentTime() + milliseconds(3'300);
    bool Checked = false;
    std::size_t Read = 0;
    std::string Buffer(96 << 10, '\0');
    while (!Code && Read < AnswerBytes) {
      Read +=
          co_await Socket.async_read_some(asio::buffer(Buffer), orError(Code));
      if (Checked)
        continue;
      co_await Mesh.pause(milliseconds(40));
      Checked = currentTime() >= CheckAt;
      if (Checked)
        BOOST_TEST(!Mesh.stopped(0));
    }
    BOOST_TEST(Checked);
    BOOST_TEST(Read >= AnswerBytes);
    co_await Mesh.until([&] { return Mesh.stopped(0); });
  });
}

// Guards against a stopping node that closes a caller's connection without an
// answer when its time is over and the call still waits for a home node.
BOOST_AUTO_TEST_CASE(a_stopping_node_answers_the_calls_that_are_still_open) {
  mesh_fixture Mesh;
  Mesh.configure(1, {"front", "desk"}, 30.0);
  Mesh.addNode("front");
  home_stand_in Home(Mesh, "home", "desk");
  unsigned Received = 0;
  Home.OnCall = [&](std::uint64_t) { ++Received; };
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await Home.introduceTo(Mesh.node(0));
    co_await Mesh.until([&] { return Mesh.node(0).knownServers() == 2; });
    std::vector<unsigned> Statuses;
    for (const std::string &Request :
         {Mesh.get("/desk/1", "read", 20'000),
          Mesh.post("/pay/desk/1", "payment", "x", 20'000)})
      asio::co_spawn(
          Mesh.context(),
          [&Mesh, &Statuses, Request]() -> awaitable<void> {
            Statuses.push_back(statusOf(co_await Mesh.call(0, Request)));
          },
          asio::detached);
    co_await Mesh.until([&] { return Received == 2; });
    Mesh.node(0).beginStop();
    co_await Mesh.until([&] { return Mesh.stopped(0); });
    BOOST_REQUIRE(Statuses.size() == 2u);
    for (unsigned Status : Statuses)
      BOOST_TEST(Status == 502u);
  });
}

// Guards against a stopping node that ends a nested call of its backend server
// shortly before the end of the grace period, although the call would be
// answered in time, and against one that starts a call that would not.
BOOST_AUTO_TEST_CASE(a_late_nested_call_of_a_stopping_node_is_answered) {
  constexpr milliseconds LateInTheGracePeriod{4'850};
  mesh_fixture Mesh;
  Mesh.configure(1, {"front", "desk"}, 5.0);
  Mesh.addNode("front");
  home_stand_in Home(Mesh, "home", "desk");
  std::vector<std::uint64_t> Running;
  Home.OnCall = [&](std::uint64_t Call) { Running.push_back(Call); };
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await Home.introduceTo(Mesh.node(0));
    co_await Mesh.until([&] { return Mesh.node(0).knownServers() == 2; });
    unsigned Long = 0, Short = 0;
    auto Send = [&Mesh](std::string Id, int DeadlineMs, unsigned &Status) {
      asio::co_spawn(
          Mesh.context(),
          [&Mesh, &Status,
           Request = Mesh.get("/desk/1", std::move(Id),
                              DeadlineMs)]() -> awaitable<void> {
            Status = statusOf(co_await Mesh.call(0, Request));
          },
          asio::detached);
    };
    unsigned Open = 0; // keeps the node at work to the end
    Send("open", 5'000, Open);
    co_await Mesh.until([&] { return Running.size() == 1; });
    instant StoppedAt = currentTime();
    Mesh.node(0).beginStop();
    co_await Mesh.until(
        [&] { return currentTime() >= StoppedAt + LateInTheGracePeriod; });
    Send("open.1", 500, Short);
    Send("open.2", 2'000, Long);
    co_await Mesh.until([&] { return Running.size() == 2 && Long > 0; });
    BOOST_TEST(Long == 503u);
    co_await Mesh.until([&] { return Open > 0; });
    Home.answer(Running[1], okAnswer());
    co_await Mesh.until([&] { return Short > 0; });
    BOOST_TEST((Short == 200u && Running.size() == 2u));
  });
}

// Guards against reads that run into their deadlines on a connection that has
// gone silent for good, while new connections to the same node work.
BOOST_AUTO_TEST_CASE(a_read_on_a_connection_that_went_silent_is_sent_again) {
  constexpr unsigned Calls = 6;
  constexpr int DeadlineMs = 600;
  mesh_fixture Mesh;
  Mesh.configure(1, {"front", "desk"}, 5.0);
  Mesh.addNode("front");
  home_stand_in Severed(Mesh, "severed", "desk");
  home_stand_in Other(Mesh, "other", "desk");
  unsigned Answered = 0;
  for (home_stand_in *Home : {&Severed, &Other}) {
    Home->Greets = true;
    Home->OnCall = [&Answered, Home](std::uint64_t Call) {
      ++Answered;
      Home->answer(Call, okAnswer());
    };
  }
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await Severed.introduceTo(Mesh.node(0));
    co_await Other.introduceTo(Mesh.node(0));
    co_await Mesh.until([&] { return Mesh.node(0).knownServers() == 3; });
    for (unsigned Warm = 0;
         Severed.connections() == 0 || Other.connections() == 0; ++Warm)
      co_await Mesh.call(0, Mesh.get("/desk/1", "w" + std::to_string(Warm)));
    co_await Mesh.pause(milliseconds(1'200));
    Severed.FirstAlive = Severed.connections();
    std::vector<unsigned> Statuses;
    for (unsigned Call = 0; Call < Calls; ++Call)
      asio::co_spawn(
          Mesh.context(),
          [&Mesh, &Statuses, Call]() -> awaitable<void> {
            auto Answer = co_await Mesh.call(
                0, Mesh.get("/desk/1", "r" + std::to_string(Call), DeadlineMs));
            Statuses.push_back(statusOf(Answer));
          },
          asio::detached);
    co_await Mesh.until([&] { return Statuses.size() == Calls; });
    for (unsigned Status : Statuses)
      BOOST_TEST(Status == 200u);
    BOOST_TEST(Severed.connections() > Severed.FirstAlive);
  });
}

BOOST_AUTO_TEST_SUITE_END()
