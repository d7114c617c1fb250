#include <boost/test/unit_test.hpp>

#include "config/join_barrier.h"
#include "config/watcher_lease.h"

using namespace chivebeam;

namespace {

const instant Start{seconds(1'000)};
const config_number None;

address peer(std::uint16_t Port) { return {"127.0.0.1", Port}; }

} // namespace

BOOST_AUTO_TEST_CASE(the_first_node_of_a_fleet_needs_only_the_store) {
  join_barrier Barrier;
  BOOST_TEST(!Barrier.floor(None, Start).has_value());
  Barrier.contactsFound(0);
  Barrier.storeAnswered(config_number(4), Start);
  BOOST_TEST((Barrier.floor(None, Start) == config_number(4)));
}

BOOST_AUTO_TEST_CASE(
    a_store_restored_from_an_old_copy_does_not_lower_the_floor) {
  join_barrier Barrier;
  Barrier.contactsFound(2);
  Barrier.storeAnswered(config_number(3), Start);
  BOOST_TEST(!Barrier.floor(None, Start).has_value());
  Barrier.peerSeen(peer(1), config_number(), Start);
  Barrier.peerSeen(peer(1), config_number(5), Start);
  BOOST_TEST(!Barrier.floor(None, Start).has_value());
  Barrier.peerSeen(peer(2), config_number(4), Start);
  BOOST_TEST((Barrier.floor(None, Start) == config_number(5)));
}

BOOST_AUTO_TEST_CASE(unreachable_peers_delay_a_start_by_one_second) {
  join_barrier Barrier;
  Barrier.contactsFound(3);
  Barrier.storeAnswered(config_number(3), Start);
  BOOST_TEST(!Barrier.floor(None, Start + milliseconds(999)).has_value());
  BOOST_TEST((Barrier.floor(None, Start + seconds(1)) == config_number(3)));
}

BOOST_AUTO_TEST_CASE(peers_set_the_floor_after_a_grace_if_the_store_is_down) {
  join_barrier Barrier;
  BOOST_TEST(!Barrier.floor(None, Start + seconds(60)).has_value());
  Barrier.peerSeen(peer(1), config_number(4), Start);
  Barrier.peerSeen(peer(2), config_number(6), Start + seconds(2));
  BOOST_TEST(!Barrier.floor(None, Start + seconds(2)).has_value());
  BOOST_TEST((Barrier.floor(None, Start + seconds(3)) == config_number(6)));
}

BOOST_AUTO_TEST_CASE(peers_without_a_configuration_do_not_open_the_barrier) {
  join_barrier Barrier;
  Barrier.peerSeen(peer(1), config_number(), Start);
  BOOST_TEST(!Barrier.floor(None, Start + seconds(60)).has_value());
}

BOOST_AUTO_TEST_CASE(
    peers_set_the_floor_if_the_number_in_the_store_was_refused) {
  join_barrier Barrier;
  Barrier.storeAnswered(config_number(5), Start);
  BOOST_TEST(!Barrier.floor(config_number(5), Start + seconds(9)).has_value());
  Barrier.peerSeen(peer(1), config_number(4), Start + seconds(9));
  BOOST_TEST((Barrier.floor(config_number(5), Start + seconds(12)) ==
              config_number(4)));
  // A peer that holds the refused number shows that the fleet has applied it,
  // so this node must not serve an older one.
  Barrier.peerSeen(peer(2), config_number(5), Start + seconds(12));
  BOOST_TEST((Barrier.floor(config_number(5), Start + seconds(12)) ==
              config_number(5)));
}

BOOST_AUTO_TEST_CASE(a_late_lower_answer_of_the_store_changes_nothing) {
  join_barrier Barrier;
  Barrier.storeAnswered(config_number(5), Start);
  Barrier.storeAnswered(config_number(2), Start);
  BOOST_TEST((Barrier.floor(None, Start) == config_number(5)));
}

BOOST_AUTO_TEST_CASE(
    a_lease_that_expired_while_its_holder_was_paused_is_not_held) {
  watcher_lease Lease(seconds(9), seconds(1));
  BOOST_TEST(!Lease.isHeld(Start));
  Lease.renewed(Start);
  BOOST_TEST(Lease.isHeld(Start + milliseconds(7'999)));
  BOOST_TEST(!Lease.isHeld(Start + seconds(8)));
  // A delayed answer to an older call neither shortens nor extends the lease.
  Lease.renewed(Start + seconds(3));
  Lease.renewed(Start);
  BOOST_TEST(Lease.isHeld(Start + seconds(10)));
  BOOST_TEST(!Lease.isHeld(Start + seconds(11)));
  Lease.released();
  BOOST_TEST(!Lease.isHeld(Start));
}
