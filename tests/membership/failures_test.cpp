// Tests the membership under network and node failures, in virtual time with
// fixed seeds.

#include <boost/test/unit_test.hpp>

#include "stand_ins/gossip_loop.h"
#include "wire/node_messages.h"

using namespace chivebeam;
using namespace chivebeam::stand_ins;

namespace {

constexpr std::size_t FleetSize = 24;
constexpr std::uint64_t FirstIncarnation = 1'000;
constexpr std::uint64_t SecondIncarnation = 2'000;
const std::vector<std::size_t> Contacts{0, 1, 2};

member_record makeRecord(std::size_t Index, std::size_t Domains = 3) {
  member_record Record;
  Record.Node = node_id("node-" + std::to_string(Index));
  Record.Incarnation = incarnation(FirstIncarnation);
  Record.Domain = failure_domain("domain-" + std::to_string(Index % Domains));
  Record.Worker = {service_name("kassa"), version_name("1.0"), 6,
                   worker_state::ready, instant()};
  return Record;
}

/// A fleet whose nodes agree on the membership.
struct converged_fleet {
  gossip_loop Loop;

  explicit converged_fleet(std::size_t Count = FleetSize,
                           std::uint64_t Seed = 11)
      : Loop(membership_settings(), Seed) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Loop.add(makeRecord(Index), Contacts);
    BOOST_TEST_REQUIRE(agreesWithin(seconds(60)));
  }

  bool agreesWithin(microseconds Limit) {
    return Loop.runUntil([this] { return Loop.agrees(); }, Limit).has_value();
  }

  void partition(std::function<bool(std::size_t)> Inside) {
    Loop.setFilter([Inside](std::size_t From, std::size_t To) {
      return Inside(From) == Inside(To);
    });
  }

  const member_record *known(std::size_t At, std::size_t Node) {
    return Loop.node(At).table().find(node_id("node-" + std::to_string(Node)));
  }

  /// Counts the nodes that satisfy Of and are not dead in the table of node At.
  std::size_t aliveAt(std::size_t At, std::function<bool(std::size_t)> Of) {
    std::size_t Alive = 0;
    for (std::size_t Node = 0; Node < Loop.size(); ++Node) {
      const member_record *Record = known(At, Node);
      Alive += Of(Node) && Record && Record->State != member_state::dead;
    }
    return Alive;
  }
};

bool inDomainOne(std::size_t Node) { return Node % 3 == 1; }

gossip_message messageFrom(const member_record &Sender) {
  gossip_message Message;
  Message.Fleet = fleet_name("fleet");
  Message.Sender = Sender;
  return Message;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_dead_node_is_noticed_by_all) {
  converged_fleet Fleet;
  Fleet.Loop.stop(7);
  BOOST_TEST(Fleet.agreesWithin(seconds(60)));
}

BOOST_AUTO_TEST_CASE(leaving_is_known_to_all_within_two_seconds) {
  converged_fleet Fleet;
  Fleet.Loop.node(5).setLeaving(Fleet.Loop.now());
  auto AllKnow = [&] {
    for (std::size_t At = 0; At < FleetSize; ++At)
      if (!Fleet.known(At, 5)->Leaving)
        return false;
    return true;
  };
  BOOST_TEST(Fleet.Loop.runUntil(AllKnow, seconds(2)).has_value());
}

BOOST_AUTO_TEST_CASE(many_restarted_nodes_rejoin_with_new_incarnations) {
  converged_fleet Fleet(60);
  for (std::size_t Node = 0; Node < 60; Node += 3)
    Fleet.Loop.stop(Node);
  Fleet.Loop.run(seconds(1));
  for (std::size_t Node = 0; Node < 60; Node += 3)
    Fleet.Loop.restart(Node, incarnation(SecondIncarnation), Contacts);
  BOOST_TEST(Fleet.agreesWithin(seconds(60)));
}

BOOST_AUTO_TEST_CASE(
    restarted_nodes_without_contacts_are_found_by_other_nodes) {
  // The store is down, so the restarted nodes have no contacts.
  converged_fleet Fleet;
  for (std::size_t Node = 0; Node < 8; ++Node)
    Fleet.Loop.stop(Node);
  Fleet.Loop.run(seconds(20));
  for (std::size_t Node = 0; Node < 8; ++Node)
    Fleet.Loop.restart(Node, incarnation(SecondIncarnation), {});
  BOOST_TEST(Fleet.agreesWithin(seconds(120)));
}

BOOST_AUTO_TEST_CASE(a_node_whose_clock_is_behind_replaces_its_old_record) {
  converged_fleet Fleet;
  Fleet.Loop.stop(4);
  Fleet.Loop.restart(4, incarnation(1), Contacts);
  BOOST_TEST(Fleet.agreesWithin(seconds(30)));
  BOOST_TEST((Fleet.known(9, 4)->Incarnation > incarnation(FirstIncarnation)));
}

BOOST_AUTO_TEST_CASE(a_partitioned_domain_keeps_its_members_and_rejoins) {
  converged_fleet Fleet(60);
  Fleet.partition(inDomainOne);
  Fleet.Loop.run(seconds(60));
  BOOST_TEST(Fleet.aliveAt(1, inDomainOne) == 20);
  BOOST_TEST(Fleet.aliveAt(0, inDomainOne) == 0);
  Fleet.Loop.setFilter({});
  std::size_t Fewest = 20;
  auto Agrees = [&] {
    Fewest = std::min(Fewest, Fleet.aliveAt(1, inDomainOne));
    return Fleet.Loop.agrees();
  };
  BOOST_TEST(Fleet.Loop.runUntil(Agrees, seconds(60)).has_value());
  // The nodes of the domain kept each other alive while rejoining.
  BOOST_TEST(Fewest == 20);
}

BOOST_AUTO_TEST_CASE(regions_agree_again_after_a_partition_of_one_hour) {
  converged_fleet Fleet;
  Fleet.partition([](std::size_t Node) { return Node < 12; });
  Fleet.Loop.run(seconds(3'600));
  BOOST_TEST(Fleet.aliveAt(0, [](std::size_t Node) { return Node >= 12; }) ==
             0);
  Fleet.Loop.setFilter({});
  BOOST_TEST(Fleet.agreesWithin(seconds(120)));
}

BOOST_AUTO_TEST_CASE(restarts_in_a_partitioned_domain_end_in_agreement) {
  converged_fleet Fleet(60);
  Fleet.partition(inDomainOne);
  Fleet.Loop.run(seconds(20));
  for (std::size_t Node = 1; Node < 20; Node += 3)
    Fleet.Loop.stop(Node);
  Fleet.Loop.run(seconds(1));
  for (std::size_t Node = 1; Node < 20; Node += 3)
    Fleet.Loop.restart(Node, incarnation(SecondIncarnation), {22, 25});
  Fleet.Loop.run(seconds(20));
  BOOST_TEST(Fleet.aliveAt(22, inDomainOne) == 20);
  Fleet.Loop.setFilter({});
  BOOST_TEST(Fleet.agreesWithin(seconds(120)));
}

BOOST_AUTO_TEST_CASE(a_node_that_receives_nothing_does_not_mark_others_dead) {
  converged_fleet Fleet;
  Fleet.Loop.setFilter([](std::size_t, std::size_t To) { return To != 3; });
  Fleet.Loop.run(seconds(120));
  auto Others = [](std::size_t Node) { return Node != 3; };
  std::uint64_t Refuted = 0;
  for (std::size_t At = 0; At < FleetSize; ++At)
    if (Others(At)) {
      BOOST_TEST(Fleet.aliveAt(At, Others) == FleetSize - 1);
      Refuted += Fleet.Loop.node(At).counts().Refuted;
    }
  // The node may report failures until it detects its isolation, and later
  // sends one dead node its record every ten seconds. It must not report a
  // failure at each probe.
  BOOST_TEST(Refuted <= 6 + 120 / 10);
  Fleet.Loop.setFilter({});
  BOOST_TEST(Fleet.agreesWithin(seconds(60)));
}

BOOST_AUTO_TEST_CASE(a_node_whose_messages_are_lost_is_dead_then_rejoins) {
  converged_fleet Fleet;
  Fleet.Loop.setFilter([](std::size_t From, std::size_t) { return From != 3; });
  Fleet.Loop.run(seconds(60));
  for (std::size_t At : {0, 8, 20})
    BOOST_TEST((Fleet.known(At, 3)->State == member_state::dead));
  Fleet.Loop.setFilter({});
  BOOST_TEST(Fleet.agreesWithin(seconds(60)));
}

BOOST_AUTO_TEST_CASE(two_processes_with_one_id_reach_a_stable_state) {
  converged_fleet Fleet;
  // A process that started later at another address with the id of node 6.
  member_record Duplicate = makeRecord(6);
  Duplicate.Incarnation = incarnation(SecondIncarnation);
  std::size_t Second = Fleet.Loop.add(Duplicate, Contacts);
  Fleet.Loop.run(seconds(30));
  incarnation Settled = Fleet.known(0, 6)->Incarnation;
  Fleet.Loop.run(seconds(30));
  BOOST_TEST(Fleet.known(0, 6)->Incarnation == Settled);
  // The process with the lower address keeps the id; the other one detects the
  // conflict.
  BOOST_TEST(Fleet.known(0, 6)->Peer.Port == 7);
  const identity_guard &Guard = Fleet.Loop.node(Second).identity();
  BOOST_TEST(Guard.otherAddress().Port == 7);
}

BOOST_AUTO_TEST_CASE(control_bytes_stay_within_budget_under_constant_updates) {
  converged_fleet Fleet(60);
  Fleet.Loop.resetTraffic();
  membership_settings Settings;
  for (unsigned Round = 0; Round < 30; ++Round) {
    for (std::size_t Node = 0; Node < 60; ++Node) {
      worker_record Worker = Fleet.Loop.node(Node).self().Worker;
      Worker.Slots = Round + 1;
      Fleet.Loop.node(Node).updateWorker(Worker, Fleet.Loop.now());
    }
    Fleet.Loop.run(seconds(1));
  }
  for (std::size_t Node = 0; Node < 60; ++Node) {
    BOOST_TEST(Fleet.Loop.trafficOf(Node).Sent <=
               30 * Settings.BytesPerSecond + Settings.BurstBytes * 2);
    BOOST_TEST(Fleet.Loop.node(Node).counts().Dead == 0);
  }
  BOOST_TEST(Fleet.agreesWithin(seconds(60)));
}

BOOST_AUTO_TEST_CASE(datagrams_fit_one_mtu_and_decode_unchanged) {
  constexpr std::size_t MaxDatagram = 1'400;
  converged_fleet Fleet(60);
  std::size_t Largest = 0;
  bool Equal = true;
  bool Estimated = true;
  Fleet.Loop.OnSend = [&](const addressed_message &Item, std::size_t Bytes) {
    Largest = std::max(Largest, Bytes);
    Estimated = Estimated && Bytes <= estimatedBytes(Item.Message);
    result<datagram_content> Back =
        decodeDatagram(encodeDatagram(Item.Message));
    const auto *Message = Back ? std::get_if<gossip_message>(&*Back) : nullptr;
    Equal = Equal && Message && Message->Records == Item.Message.Records &&
            Message->BucketDigests == Item.Message.BucketDigests &&
            Message->CompleteBuckets == Item.Message.CompleteBuckets &&
            Message->Kind == Item.Message.Kind;
  };
  for (std::size_t Node = 0; Node < 60; Node += 2)
    Fleet.Loop.restart(Node, incarnation(SecondIncarnation), Contacts);
  Fleet.Loop.run(seconds(10));
  BOOST_TEST(Largest > 800); // the restarts produced large datagrams
  BOOST_TEST(Largest <= MaxDatagram);
  BOOST_TEST(Equal);
  BOOST_TEST(Estimated);
}

BOOST_AUTO_TEST_CASE(foreign_and_malformed_messages_change_nothing) {
  converged_fleet Fleet;
  membership &Node = Fleet.Loop.node(0);
  std::uint64_t Before = Node.table().digest();
  gossip_message Foreign = messageFrom(makeRecord(99));
  Foreign.Sender.Peer = {"127.0.0.1", 99};
  Foreign.Fleet = fleet_name("another");
  std::vector<member_record> Malformed(5, Foreign.Sender);
  Malformed[0].Node = node_id();
  Malformed[1].Node = node_id(std::string(200, 'x'));
  Malformed[2].Peer.Port = 0;
  Malformed[3].Peer.Ip = "no address";
  Malformed[4].Incarnation = incarnation(~std::uint64_t{0});
  BOOST_TEST(
      Node.receive(Foreign, Foreign.Sender.Peer, Fleet.Loop.now()).empty());
  for (const member_record &Sender : Malformed)
    Node.receive(messageFrom(Sender), {"127.0.0.1", 99}, Fleet.Loop.now());
  gossip_message Carrier = messageFrom(Fleet.Loop.node(1).self());
  Carrier.Records = Malformed;
  Node.receive(Carrier, Carrier.Sender.Peer, Fleet.Loop.now());
  BOOST_TEST(Node.table().digest() == Before);
}

BOOST_AUTO_TEST_CASE(a_replayed_message_does_not_revive_a_dead_node) {
  converged_fleet Fleet;
  gossip_message Old = messageFrom(Fleet.Loop.node(7).self());
  Fleet.Loop.stop(7);
  BOOST_TEST_REQUIRE(Fleet.agreesWithin(seconds(60)));
  Fleet.Loop.node(0).receive(Old, Old.Sender.Peer, Fleet.Loop.now());
  BOOST_TEST((Fleet.known(0, 7)->State == member_state::dead));
}

BOOST_AUTO_TEST_CASE(a_dead_record_is_removed_everywhere_after_its_retention) {
  membership_settings Settings;
  converged_fleet Fleet(6);
  Fleet.Loop.stop(5);
  Fleet.Loop.run(Settings.DeadRetention + seconds(60));
  for (std::size_t At = 0; At < 5; ++At)
    BOOST_TEST(!Fleet.known(At, 5));
}
