// Tests how a node gets a configuration from the watchers that hold it.
#include <thread>

#include <boost/test/unit_test.hpp>

#include "mesh/mesh_state.h"
#include "mesh/peer_hub.h"
#include "mesh_fixture.h"
#include "net/clock.h"
#include "platform/operator_json_format.h"
#include "wire/compressed_text.h"

using namespace chivebeam;

namespace {

constexpr std::string_view Newest =
    R"({"version": 2, "services": [], "virtualHosts": []})";

/// Another node, at the level of frames.
struct scripted_peer {
  scripted_peer(asio::io_context &Context, std::string Name)
      : Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}) {
    Record.Node = node_id(std::move(Name));
    Record.Peer = {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  /// Accepts the link of the node.
  awaitable<void> accept() {
    error_code Code;
    tcp::socket Socket = co_await Acceptor.async_accept(orError(Code));
    Channel = std::make_shared<frame_channel>(std::move(Socket));
    Channel->start(
        [this](peer_frame Frame) {
          if (Frame.Kind != frame_kind::config_query)
            return;
          ++Queries;
          if (OnQuery)
            OnQuery();
        },
        [] {});
  }
  peer_frame frame(frame_kind Kind) const {
    peer_frame Frame;
    Frame.Kind = Kind;
    Frame.Config = config_number(2);
    if (StoreCurrent)
      Frame.StoreAge = microseconds(0);
    return Frame;
  }
  /// Sends the number of the configuration that it holds.
  void announce() const { Channel->send(frame(frame_kind::records)); }
  void sendConfig() const {
    peer_frame Config = frame(frame_kind::config);
    Config.Body = std::make_shared<const std::string>(compressText(Newest));
    Channel->send(Config);
  }

  home_record Record;
  tcp::acceptor Acceptor;
  std::shared_ptr<frame_channel> Channel;
  std::function<void()> OnQuery;
  unsigned Queries = 0;
  bool StoreCurrent = true;
};

/// A node that subscribes to two scripted peers. Both announce configuration 2
/// once.
struct transfer_setup {
  transfer_setup() {
    Settings.Node = node_id("node");
    for (scripted_peer *Peer : {&First, &Second})
      Records.push_back(Peer->Record);
  }

  awaitable<void> connect() {
    Hub.setPeers(Records);
    Hub.subscribeTo({First.Record.Node, Second.Record.Node});
    co_await First.accept();
    co_await Second.accept();
    co_await pass(milliseconds(50));
  }
  /// Lets this time pass, or less if configuration 2 comes into force.
  awaitable<void> pass(milliseconds Time) {
    for (instant End = currentTime() + Time;
         currentTime() < End && !hasNewest();) {
      co_await sleepFor(milliseconds(20));
      Hub.tick(currentTime());
    }
  }
  bool hasNewest() const { return State.configNumber() == config_number(2); }
  void run(awaitable<void> Test) {
    bool Ended = false;
    asio::co_spawn(Context, std::move(Test), [&](std::exception_ptr Failure) {
      Ended = !Failure;
      Context.stop();
    });
    Context.run_for(seconds(20));
    BOOST_TEST(Ended);
  }

  asio::io_context Context{1};
  platform::operator_json_format Format;
  mesh_settings Settings;
  mesh_state State{Settings, Format};
  body_memory Memory{body_account(1 << 20, door_limits())};
  peer_hub Hub{Context, State, Memory.Answers};
  scripted_peer First{Context, "first"};
  scripted_peer Second{Context, "second"};
  std::vector<home_record> Records;
};

} // namespace

BOOST_AUTO_TEST_SUITE(config_transfer)

// Guards against a node that waits for the next message of another watcher
// after the one that it asked has fallen silent.
BOOST_AUTO_TEST_CASE(another_watcher_is_asked_if_the_first_does_not_answer) {
  transfer_setup Setup;
  auto Test = [&]() -> awaitable<void> {
    co_await Setup.connect();
    Setup.Second.OnQuery = [&] { Setup.Second.sendConfig(); };
    Setup.First.announce();
    co_await Setup.pass(milliseconds(100));
    BOOST_TEST(Setup.First.Queries == 1u);
    Setup.Second.announce();
    co_await Setup.pass(milliseconds(900));
    BOOST_TEST(Setup.hasNewest());
    BOOST_TEST(Setup.Second.Queries == 1u);
  };
  Setup.run(Test());
}

// Guards against a request that stays bound to a watcher whose connection has
// ended.
BOOST_AUTO_TEST_CASE(another_watcher_is_asked_at_once_if_the_first_ends) {
  transfer_setup Setup;
  auto Test = [&]() -> awaitable<void> {
    co_await Setup.connect();
    Setup.First.OnQuery = [&] { Setup.First.Channel->close(); };
    Setup.Second.OnQuery = [&] { Setup.Second.sendConfig(); };
    Setup.First.announce();
    Setup.Second.announce();
    co_await Setup.pass(milliseconds(300));
    BOOST_TEST(Setup.First.Queries == 1u);
    BOOST_TEST(Setup.hasNewest());
  };
  Setup.run(Test());
}

// Guards against a configuration that arrives late and is requested again by
// the message that carries it.
BOOST_AUTO_TEST_CASE(a_late_configuration_is_not_requested_again) {
  transfer_setup Setup;
  auto Test = [&]() -> awaitable<void> {
    co_await Setup.connect();
    Setup.First.announce();
    co_await Setup.pass(milliseconds(550));
    BOOST_TEST(Setup.First.Queries == 1u);
    std::this_thread::sleep_for(milliseconds(100));
    Setup.First.sendConfig();
    co_await sleepFor(milliseconds(20));
    BOOST_TEST(Setup.hasNewest());
    co_await sleepFor(milliseconds(50));
    BOOST_TEST(Setup.First.Queries == 1u);
  };
  Setup.run(Test());
}

BOOST_AUTO_TEST_SUITE_END()
