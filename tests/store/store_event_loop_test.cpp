#include <boost/test/unit_test.hpp>

#include <set>

#include "stand_ins/fake_store.h"
#include "store/store_event_loop.h"
#include "store/store_records.h"

using namespace chivebeam;
using namespace chivebeam::stand_ins;

namespace {

constexpr seconds CallDeadline{2};
const fleet_name Fleet("f");
const store_keys Keys(Fleet);

config_source source(std::uint64_t Number) {
  return {config_number(Number), publish_id("p" + std::to_string(Number)),
          instant(), "{}", "{}"};
}

/// One node's store event loop and the events that it reported.
struct node {
  node(asio::io_context &Context, fake_platform &Platform,
       const std::string &Name, std::uint16_t Port)
      : Session(Platform, CallDeadline), Commits(Platform, CallDeadline),
        EventLoop(
            Context, Session, Commits,
            {Fleet, node_id(Name), failure_domain("a"), {"127.0.0.1", Port}},
            [this](store_event Event) { handle(std::move(Event)); },
            std::make_unique<virtual_event_loop_clock>(Platform.time())) {
    EventLoop.handle(fleet_size{3, 3});
    EventLoop.start();
  }

  void handle(store_event Event) {
    if (auto *Found = std::get_if<source_found>(&Event))
      Numbers.push_back(Found->Source.Number.value());
    else if (auto *Answered = std::get_if<store_answered>(&Event))
      StoreNumber = Answered->Newest.value();
    else if (auto *WatcherLease = std::get_if<watcher_lease_changed>(&Event))
      setHoldsLease(WatcherLease->HoldsLease);
    else if (auto *Session = std::get_if<session_changed>(&Event))
      Up = Session->Up;
    else if (auto *Watchers = std::get_if<watchers_found>(&Event))
      Peers.insert(Watchers->Peers.begin(), Watchers->Peers.end());
    else if (std::holds_alternative<verdict_found>(Event))
      ++Verdicts;
  }

  void setHoldsLease(bool Holding) {
    HoldsLease = Holding;
    LeasesLost += Holding ? 0 : 1;
  }

  fake_store Session;
  fake_store Commits;
  std::vector<std::uint64_t> Numbers;
  std::optional<std::uint64_t> StoreNumber;
  bool HoldsLease = false;
  unsigned LeasesLost = 0;
  bool Up = false;
  std::set<address> Peers;
  std::size_t Verdicts = 0;
  store_event_loop EventLoop;
};

struct event_loop_fixture {
  asio::io_context Context{1};
  virtual_time Time{Context};
  fake_platform Platform{Time};

  void publish(std::uint64_t Number) {
    config_source Source = source(Number);
    Platform.put(Keys.source(Source.Number), writeSource(Source));
    Platform.put(Keys.head(), writeHead({Source.Number, Source.Id}));
  }
  std::size_t heldLeases() {
    Platform.data().expire(Time.now());
    return Platform.keysUnder(Keys.watcherLeases()).size();
  }
  std::uint64_t headNumber() {
    checked<head_record> Head = readHead(Platform.read(Keys.head()));
    return Head ? Head->Number.value() : 0;
  }
};

using numbers = std::vector<std::uint64_t>;

} // namespace

BOOST_FIXTURE_TEST_CASE(a_watcher_delivers_each_number_once,
                        event_loop_fixture) {
  publish(1);
  node Node(Context, Platform, "n1", 1);
  Time.advance(seconds(6));
  BOOST_TEST(Node.Up);
  BOOST_TEST(Node.HoldsLease);
  BOOST_TEST(heldLeases() == 1u);
  publish(2);
  Time.advance(milliseconds(10));
  publish(3);
  Time.advance(milliseconds(10));
  Platform.put(Keys.head(), writeHead({config_number(2), publish_id("p2")}));
  Time.advance(seconds(10));
  BOOST_TEST((Node.Numbers == numbers{1, 2, 3}));
}

BOOST_FIXTURE_TEST_CASE(an_outage_ends_the_watcher_lease_and_a_new_one_follows,
                        event_loop_fixture) {
  publish(1);
  node Node(Context, Platform, "n1", 1);
  Time.advance(seconds(6));
  BOOST_REQUIRE(Node.HoldsLease);
  Platform.Down = true;
  Platform.breakWatches();
  Time.advance(seconds(9));
  BOOST_TEST(!Node.HoldsLease);
  BOOST_TEST(!Node.Up);
  publish(2);
  Platform.Down = false;
  Time.advance(seconds(40));
  BOOST_TEST(Node.Up);
  BOOST_TEST(Node.HoldsLease);
  BOOST_TEST((Node.Numbers == numbers{1, 2}));
}

BOOST_FIXTURE_TEST_CASE(a_broken_watch_resumes_without_losing_a_change,
                        event_loop_fixture) {
  publish(1);
  node Node(Context, Platform, "n1", 1);
  Time.advance(seconds(6));
  BOOST_REQUIRE(Node.HoldsLease);
  std::uint64_t Reads = Platform.Reads;
  Platform.FailWatches = 1;
  Platform.breakWatches();
  publish(2);
  Time.advance(milliseconds(2'500));
  BOOST_TEST((Node.Numbers == numbers{1, 2}));
  BOOST_TEST(Node.HoldsLease);
  // One read is for the new source; a lost watch does not cause a read of the
  // state.
  BOOST_TEST(Platform.Reads <= Reads + 2);
}

BOOST_FIXTURE_TEST_CASE(a_watch_whose_revision_was_compacted_reads_anew,
                        event_loop_fixture) {
  publish(1);
  node Node(Context, Platform, "n1", 1);
  Time.advance(seconds(6));
  BOOST_REQUIRE(Node.HoldsLease);
  Platform.FailWatches = 1;
  Platform.breakWatches();
  publish(2);
  Platform.compact();
  Time.advance(seconds(3));
  publish(3);
  Time.advance(milliseconds(10));
  BOOST_TEST((Node.Numbers == numbers{1, 2, 3}));
}

BOOST_FIXTURE_TEST_CASE(a_lapsed_watcher_lease_is_noticed_and_replaced,
                        event_loop_fixture) {
  node Node(Context, Platform, "n1", 1);
  Time.advance(seconds(6));
  BOOST_REQUIRE(Node.HoldsLease);
  Platform.lapseLeases();
  Time.advance(seconds(12));
  BOOST_TEST(Node.LeasesLost == 1u);
  BOOST_TEST(Node.HoldsLease);
  BOOST_TEST(heldLeases() == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_watcher_paused_past_its_lease_stops_watching,
                        event_loop_fixture) {
  publish(1);
  node Node(Context, Platform, "n1", 1);
  Time.advance(seconds(6));
  BOOST_REQUIRE(Node.HoldsLease);
  // The store is unreachable, so only the expiry of the lease ends the watch.
  Platform.Down = true;
  Time.pauseFor(seconds(8));
  Time.advance(milliseconds(0));
  Time.advance(milliseconds(1));
  BOOST_TEST(!Node.HoldsLease);
}

BOOST_FIXTURE_TEST_CASE(a_lost_answer_does_not_take_two_watcher_leases,
                        event_loop_fixture) {
  Platform.LoseAnswers = 1;
  node Node(Context, Platform, "n1", 1);
  Time.advance(seconds(6));
  BOOST_TEST(Node.HoldsLease);
  BOOST_TEST(heldLeases() == 1u);
}

BOOST_FIXTURE_TEST_CASE(three_nodes_hold_the_watcher_leases_of_a_domain,
                        event_loop_fixture) {
  std::vector<std::unique_ptr<node>> Nodes;
  for (std::uint16_t Port = 1; Port <= 6; ++Port)
    Nodes.push_back(std::make_unique<node>(Context, Platform,
                                           "n" + std::to_string(Port), Port));
  Time.advance(seconds(30));
  std::size_t HoldsLease = 0;
  for (const auto &Node : Nodes)
    HoldsLease += Node->HoldsLease ? 1 : 0;
  BOOST_TEST(HoldsLease == 3u);
  BOOST_TEST(heldLeases() == 3u);
  for (const auto &Node : Nodes)
    BOOST_TEST(Node->Peers.size() >= 2u);
}

BOOST_FIXTURE_TEST_CASE(a_slow_store_does_not_count_as_up, event_loop_fixture) {
  publish(1);
  Platform.Latency = seconds(5);
  node Node(Context, Platform, "n1", 1);
  Time.advance(seconds(20));
  BOOST_TEST(!Node.Up);
  BOOST_TEST(!Node.HoldsLease);
  BOOST_TEST(Node.Numbers.empty());
  Platform.Latency = milliseconds(500);
  Time.advance(seconds(40));
  BOOST_TEST(Node.Up);
  BOOST_TEST(Node.HoldsLease);
  BOOST_TEST((Node.Numbers == numbers{1}));
}

BOOST_FIXTURE_TEST_CASE(
    a_store_restored_from_an_old_copy_gets_the_newest_source,
    event_loop_fixture) {
  publish(1);
  memory_store OldCopy = Platform.data();
  publish(2);
  publish(3);
  node Node(Context, Platform, "n1", 1);
  Time.advance(seconds(6));
  BOOST_REQUIRE(Node.HoldsLease);
  Node.EventLoop.handle(source_applied{source(3)});
  Platform.restore(OldCopy);
  Platform.breakWatches();
  Time.advance(seconds(30));
  BOOST_TEST(headNumber() == 3u);
  BOOST_TEST(Platform.read(Keys.source(config_number(3))) ==
             writeSource(source(3)));
  BOOST_TEST((Node.Numbers == numbers{3}));
}

BOOST_FIXTURE_TEST_CASE(a_restore_that_keeps_the_lease_is_noticed_too,
                        event_loop_fixture) {
  publish(1);
  node Node(Context, Platform, "n1", 1);
  Time.advance(seconds(6));
  BOOST_REQUIRE(Node.HoldsLease);
  memory_store OldCopy = Platform.data();
  for (std::uint64_t Number = 2; Number < 9; ++Number)
    publish(Number);
  Time.advance(milliseconds(100));
  Node.EventLoop.handle(source_applied{source(8)});
  Platform.restore(OldCopy);
  Time.advance(seconds(8));
  BOOST_TEST(headNumber() == 8u);
}

BOOST_FIXTURE_TEST_CASE(a_watcher_lease_that_another_node_took_is_given_up,
                        event_loop_fixture) {
  publish(1);
  node Node(Context, Platform, "n1", 1);
  Time.advance(seconds(6));
  BOOST_REQUIRE(Node.HoldsLease);
  // In a restored store the lease id may belong to another holder.
  std::string WatcherLease = Platform.keysUnder(Keys.watcherLeases()).front();
  Platform.put(WatcherLease,
               writeWatcherRecord({{"127.0.0.1", 9}, lease_id(1'000)}));
  Time.advance(milliseconds(10));
  BOOST_TEST(Node.LeasesLost == 1u);
}

BOOST_FIXTURE_TEST_CASE(an_unreadable_head_gives_no_store_number,
                        event_loop_fixture) {
  Platform.put(Keys.head(), "{\"number\": 1, \"newer_field\": true}");
  node Node(Context, Platform, "n1", 1);
  Time.advance(seconds(6));
  BOOST_TEST(Node.Up);
  BOOST_TEST(!Node.StoreNumber.has_value());
}

BOOST_FIXTURE_TEST_CASE(a_verdict_is_recorded_once_though_answers_are_lost,
                        event_loop_fixture) {
  node Node(Context, Platform, "n1", 1);
  node Other(Context, Platform, "n2", 2);
  Time.advance(seconds(8));
  move_progress Done;
  Done.Id = move_id("m");
  Done.Phase = move_phase::deciding;
  move_progress TakenBack = Done;
  TakenBack.Phase = move_phase::taken_back;
  Platform.LoseAnswers = 2;
  Node.EventLoop.handle(record_verdict{Done, "journal"});
  Time.advance(milliseconds(1));
  Other.EventLoop.handle(record_verdict{TakenBack, "other journal"});
  Time.advance(seconds(60));
  BOOST_TEST(Platform.read(Keys.verdict(move_id("m"))).find("done") !=
             std::string::npos);
  BOOST_TEST(Platform.read(Keys.journal(move_id("m"))) == "journal");
  BOOST_TEST(Node.Verdicts > 0u);
  BOOST_TEST(Other.Verdicts > 0u);
}
