// Tests how a link sends the body of a call, and reads that of an answer, in
// parts, and whole with a node of an earlier version.
#include <algorithm>

#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include "mesh/mesh_state.h"
#include "mesh/peer_link.h"
#include "mesh_fixture.h"
#include "net/clock.h"
#include "platform/operator_json_format.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

constexpr std::size_t BodyBytes = 40 * MaxPartBytes;
constexpr milliseconds MessageTime{50};
constexpr seconds ConditionLimit{10};

/// Waits until a condition holds; fails the test if it never does.
awaitable<void> until(std::function<bool()> Condition) {
  instant GiveUpAt = currentTime() + ConditionLimit;
  while (!Condition() && currentTime() < GiveUpAt)
    co_await sleepFor(milliseconds(1));
  BOOST_TEST(Condition(), "a condition never held");
}

/// A link to a home node that a test plays by hand.
struct played_home {
  played_home()
      : State(settings(), Format),
        Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Link(std::make_shared<peer_link>(
            Context, node_id("home"),
            address{"127.0.0.1", Acceptor.local_endpoint().port()}, State,
            Bodies)) {}

  static mesh_settings settings() {
    mesh_settings Settings;
    Settings.Node = node_id("entry");
    return Settings;
  }

  /// Runs a test; Home is connected before it starts.
  void run(std::function<awaitable<void>()> Test) {
    bool Ended = false;
    asio::co_spawn(
        Context,
        [&]() -> awaitable<void> {
          send("upload", BodyBytes);
          error_code Code;
          tcp::socket Socket = co_await Acceptor.async_accept(orError(Code));
          Home = std::make_shared<frame_channel>(std::move(Socket));
          Home->start([this](peer_frame Frame) { Received.push_back(Frame); },
                      [] {});
          co_await until([this] { return callNumber(0) > 0; });
          co_await Test();
          Ended = true;
          Context.stop();
        },
        [](std::exception_ptr Failure) {
          if (Failure)
            std::rethrow_exception(Failure);
        });
    Context.run_for(seconds(20));
    BOOST_TEST(Ended);
  }

  void send(std::string Id, std::size_t Bytes) {
    mesh_call Call;
    Call.Id = request_id(Id);
    Call.Deadline = currentTime() + seconds(5);
    if (Bytes > 0)
      Call.Body = std::make_shared<const std::string>(Bytes, 'b');
    Link->call(std::move(Call), Cancel,
               [this, Id](mesh_answer Answer) { Answers[Id] = Answer; });
  }

  /// Returns the number of the call that was sent as the Index-th.
  std::uint64_t callNumber(std::size_t Index) const {
    for (const peer_frame &Frame : Received)
      if (Frame.Kind == frame_kind::call && Index-- == 0)
        return Frame.Call;
    return 0;
  }

  void requestBody(bool InParts) {
    peer_frame Frame;
    Frame.Kind = frame_kind::body_request;
    Frame.Call = callNumber(0);
    Frame.AcceptsParts = InParts;
    Home->send(Frame);
  }

  /// Answers the call that was sent as the second; Bytes of a body follow in
  /// parts.
  void answerSecond(std::uint64_t Bytes) {
    peer_frame Frame;
    Frame.Kind = frame_kind::answer;
    Frame.Call = callNumber(1);
    Frame.Answer = emptyAnswer(attempt_outcome::answered, "");
    Frame.Answer->Status = 200;
    Frame.PartedBytes = Bytes;
    Home->send(Frame);
  }

  /// Sends parts of the body of that answer.
  void sendAnswerBody(std::size_t Bytes) {
    Home->sendBody(callNumber(1),
                   std::make_shared<const std::string>(Bytes, 'a'), nullptr);
  }

  std::size_t count(frame_kind Kind) const {
    return static_cast<std::size_t>(std::count_if(
        Received.begin(), Received.end(),
        [&](const peer_frame &Frame) { return Frame.Kind == Kind; }));
  }

  asio::io_context Context{1};
  platform::operator_json_format Format;
  mesh_state State;
  tcp::acceptor Acceptor;
  body_memory Memory{
      body_account(0, 2 * BodyBytes, door_limits().SmallBodyBytes)};
  body_budget &Bodies = Memory.Answers;
  std::shared_ptr<peer_link> Link;
  std::shared_ptr<frame_channel> Home;
  cancel_signal Cancel;
  std::vector<peer_frame> Received;
  std::map<std::string, mesh_answer> Answers;
};

} // namespace

BOOST_AUTO_TEST_SUITE(body_parts)

BOOST_AUTO_TEST_CASE(a_body_arrives_in_parts_in_order) {
  played_home Peer;
  Peer.run([&]() -> awaitable<void> {
    Peer.requestBody(true);
    co_await until([&] {
      return Peer.count(frame_kind::body_part) == BodyBytes / MaxPartBytes;
    });
    BOOST_TEST(Peer.count(frame_kind::body) == 0u);
  });
}

// Guards against parts that a process of an earlier version would misread while
// both versions run.
BOOST_AUTO_TEST_CASE(an_earlier_version_gets_the_body_whole) {
  played_home Peer;
  Peer.run([&]() -> awaitable<void> {
    Peer.requestBody(false);
    co_await until([&] { return Peer.count(frame_kind::body) == 1; });
    BOOST_TEST(Peer.count(frame_kind::body_part) == 0u);
    BOOST_TEST(Peer.Received.back().Body->size() == BodyBytes);
  });
}

// Guards against a call that is given up although its home node can't have its
// whole body, so that another node may run it.
BOOST_AUTO_TEST_CASE(a_call_whose_body_is_cut_has_not_run) {
  played_home Peer;
  Peer.run([&]() -> awaitable<void> {
    Peer.Home->close();
    co_await until([&] { return Peer.Answers.contains("upload"); });
    BOOST_TEST((Peer.Answers["upload"].Outcome == attempt_outcome::not_sent));
  });
  played_home Cut;
  Cut.run([&]() -> awaitable<void> {
    Cut.requestBody(true);
    while (Cut.count(frame_kind::body_part) == 0)
      co_await sleepFor(milliseconds(0));
    Cut.Home->close();
    co_await until([&] { return Cut.Answers.contains("upload"); });
    bool HadAll = Cut.count(frame_kind::body_part) == BodyBytes / MaxPartBytes;
    attempt_outcome Outcome = Cut.Answers["upload"].Outcome;
    BOOST_TEST((Outcome == attempt_outcome::not_sent || HadAll));
  });
}

// Guards against a call that counts as not run although it may run.
BOOST_AUTO_TEST_CASE(a_call_whose_whole_body_was_sent_may_have_run) {
  played_home Peer;
  Peer.run([&]() -> awaitable<void> {
    Peer.requestBody(true);
    while (Peer.count(frame_kind::body_part) < BodyBytes / MaxPartBytes)
      co_await sleepFor(milliseconds(1));
    Peer.Home->close();
    co_await until([&] { return Peer.Answers.contains("upload"); });
    BOOST_TEST((Peer.Answers["upload"].Outcome == attempt_outcome::lost));
  });
}

// Guards against a body that uses the link although nobody waits for it.
BOOST_AUTO_TEST_CASE(no_more_is_sent_of_a_body_whose_call_has_ended) {
  played_home Peer;
  Peer.run([&]() -> awaitable<void> {
    Peer.requestBody(true);
    while (Peer.count(frame_kind::body_part) == 0)
      co_await sleepFor(milliseconds(0));
    Peer.Cancel.raise();
    co_await until([&] { return Peer.count(frame_kind::cancel) == 1; });
    std::size_t Parts = Peer.count(frame_kind::body_part);
    co_await sleepFor(MessageTime);
    BOOST_TEST(Peer.count(frame_kind::body_part) == Parts);
    BOOST_TEST(!Peer.Link->hasOpenCalls());
  });
}

BOOST_AUTO_TEST_CASE(an_answer_in_parts_is_put_together) {
  played_home Peer;
  Peer.run([&]() -> awaitable<void> {
    Peer.send("read", 0);
    co_await until([&] { return Peer.callNumber(1) > 0; });
    Peer.answerSecond(BodyBytes);
    co_await sleepFor(MessageTime);
    BOOST_TEST(!Peer.Answers.contains("read"));
    Peer.sendAnswerBody(BodyBytes);
    co_await until([&] { return Peer.Answers.contains("read"); });
    BOOST_TEST(Peer.Answers["read"].Status == 200u);
    BOOST_TEST(*Peer.Answers["read"].Body == std::string(BodyBytes, 'a'));
  });
}

// Guards against an answer that looks whole though its home node ended on the
// way.
BOOST_AUTO_TEST_CASE(an_answer_whose_parts_are_cut_is_lost) {
  played_home Peer;
  Peer.run([&]() -> awaitable<void> {
    Peer.send("read", 0);
    co_await until([&] { return Peer.callNumber(1) > 0; });
    Peer.answerSecond(BodyBytes);
    Peer.sendAnswerBody(BodyBytes - 1);
    co_await sleepFor(4 * MessageTime);
    Peer.Home->close();
    co_await until([&] { return Peer.Answers.contains("read"); });
    BOOST_TEST((Peer.Answers["read"].Outcome == attempt_outcome::lost));
    BOOST_TEST(Peer.Answers["read"].Status == 0u);
  });
}

// Guards against memory that is used for an answer of any size.
BOOST_AUTO_TEST_CASE(an_answer_above_the_size_limit_is_lost) {
  played_home Peer;
  Peer.run([&]() -> awaitable<void> {
    Peer.send("read", 0);
    co_await until([&] { return Peer.callNumber(1) > 0; });
    Peer.answerSecond(MaxAnswerBytes + 1);
    co_await until([&] { return Peer.Answers.contains("read"); });
    BOOST_TEST((Peer.Answers["read"].Outcome == attempt_outcome::lost));
  });
}

// Guards against answers that are bounded each but not together, and against a
// link that ends with one of them.
BOOST_AUTO_TEST_CASE(an_answer_in_parts_holds_memory_as_it_arrives) {
  played_home Peer;
  Peer.run([&]() -> awaitable<void> {
    std::optional<body_reservation> Others = Peer.Bodies.reserve(BodyBytes);
    Peer.send("read", 0);
    co_await until([&] { return Peer.callNumber(1) > 0; });
    Peer.answerSecond(BodyBytes);
    Peer.sendAnswerBody(BodyBytes / 2);
    co_await until([&] {
      return Peer.Bodies.reservedBytes() == BodyBytes + BodyBytes / 2;
    });
    // A large body leaves a part of the memory to small ones.
    Peer.sendAnswerBody(BodyBytes / 2);
    co_await until([&] { return Peer.Answers.contains("read"); });
    BOOST_TEST((Peer.Answers["read"].Outcome == attempt_outcome::lost));
    BOOST_TEST(Peer.Bodies.reservedBytes() == BodyBytes);
    co_await until([&] { return Peer.count(frame_kind::cancel) == 1; });
    BOOST_TEST(Peer.Link->isOpen());
  });
}

BOOST_AUTO_TEST_CASE(an_answer_in_parts_holds_memory_until_it_is_dropped) {
  played_home Peer;
  Peer.run([&]() -> awaitable<void> {
    Peer.send("read", 0);
    co_await until([&] { return Peer.callNumber(1) > 0; });
    Peer.answerSecond(BodyBytes);
    Peer.sendAnswerBody(BodyBytes);
    co_await until([&] { return Peer.Answers.contains("read"); });
    BOOST_TEST(Peer.Bodies.reservedBytes() == BodyBytes);
    Peer.Answers.clear();
    BOOST_TEST(Peer.Bodies.reservedBytes() == 0u);
  });
}

/// Checks a channel as often as a node does, until Time has passed after Start.
void checkFor(frame_channel &Channel, instant Start, milliseconds Time) {
  for (milliseconds Passed{0}; Passed <= Time; Passed += milliseconds(100))
    Channel.closeIfStuck(Start + Passed);
}

// Guards against a connection that is closed because much waits on it although
// the other node takes it, and against one that is kept although it doesn't.
BOOST_AUTO_TEST_CASE(only_a_node_that_takes_no_bytes_is_stuck) {
  asio::io_context Context(1);
  tcp::acceptor Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0});
  bool Ended = false;
  asio::co_spawn(
      Context,
      [&]() -> awaitable<void> {
        tcp::socket Near(Context);
        co_await Near.async_connect(Acceptor.local_endpoint(),
                                    asio::use_awaitable);
        tcp::socket Far = co_await Acceptor.async_accept(asio::use_awaitable);
        auto Channel = std::make_shared<frame_channel>(std::move(Near));
        Channel->start([](peer_frame) {}, [] {});
        Channel->sendBody(1, std::make_shared<const std::string>(64 << 20, 'b'),
                          nullptr);
        std::string Taken(8 << 20, ' ');
        for (unsigned Read = 0; Read < 4; ++Read) {
          co_await asio::async_read(Far, asio::buffer(Taken),
                                    asio::use_awaitable);
          co_await sleepFor(milliseconds(50));
          checkFor(*Channel, currentTime(), milliseconds(4'000));
          BOOST_REQUIRE(Channel->isOpen());
        }
        instant Start = currentTime();
        checkFor(*Channel, Start, milliseconds(2'000));
        // The process is suspended for a minute.
        checkFor(*Channel, Start + seconds(62), milliseconds(4'000));
        BOOST_REQUIRE(Channel->isOpen());
        checkFor(*Channel, Start + seconds(66), milliseconds(2'000));
        BOOST_TEST(!Channel->isOpen());
        Ended = true;
        Context.stop();
      },
      asio::detached);
  Context.run_for(seconds(20));
  BOOST_TEST(Ended);
}

BOOST_AUTO_TEST_SUITE_END()
