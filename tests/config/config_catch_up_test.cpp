// Checks when a node that is behind requests the newest configuration from its
// peers.
#include <boost/test/unit_test.hpp>

#include "config/config_catch_up.h"

using namespace chivebeam;

namespace {

const instant Start = instant(seconds(1'000));
const config_number Old(5);
const config_number New(7);

/// Returns how many requests the node sends during Time while it holds Old and
/// each of Peers reports New every 100 ms.
unsigned countRequests(config_catch_up &CatchUp, unsigned Peers,
                       milliseconds Time) {
  unsigned Count = 0;
  for (milliseconds At(0); At < Time; At += milliseconds(100))
    for (unsigned Peer = 0; Peer < Peers; ++Peer)
      Count += CatchUp.peerReported(New, Old, Start + At) ? 1 : 0;
  return Count;
}

} // namespace

BOOST_AUTO_TEST_CASE(one_of_many_peers_is_asked_for_a_late_configuration) {
  config_catch_up CatchUp;
  BOOST_TEST(countRequests(CatchUp, 71, milliseconds(1'500)) == 1u);
  BOOST_TEST(CatchUp.isBehind(Old));
  BOOST_TEST(!CatchUp.isBehind(New));
}

BOOST_AUTO_TEST_CASE(no_peer_is_asked_if_the_store_delivers_in_time) {
  config_catch_up CatchUp;
  BOOST_TEST(countRequests(CatchUp, 71, milliseconds(900)) == 0u);
  BOOST_TEST(!CatchUp.peerReported(New, New, Start + milliseconds(950)));
  BOOST_TEST(!CatchUp.peerReported(New, New, Start + milliseconds(2'000)));
}

BOOST_AUTO_TEST_CASE(another_peer_is_asked_if_one_does_not_answer) {
  config_catch_up CatchUp;
  // The first request follows StoreWait; the next ones follow 0.6 s, 1.2 s and
  // 2.4 s later.
  BOOST_TEST(countRequests(CatchUp, 10, milliseconds(6'000)) == 4u);
}

BOOST_AUTO_TEST_CASE(without_the_store_a_peer_is_asked_at_once) {
  config_catch_up CatchUp;
  CatchUp.setCutOff(true);
  BOOST_TEST(CatchUp.peerReported(New, Old, Start));
  BOOST_TEST(!CatchUp.peerReported(New, Old, Start + milliseconds(100)));
  BOOST_TEST(CatchUp.peerReported(New, Old, Start + milliseconds(700)));
}

BOOST_AUTO_TEST_CASE(progress_during_frequent_changes_restarts_the_wait) {
  config_catch_up CatchUp;
  for (std::uint64_t Step = 0; Step < 20; ++Step) {
    instant Now = Start + milliseconds(900) * static_cast<int>(Step);
    BOOST_TEST(!CatchUp.peerReported(config_number(Step + 3),
                                     config_number(Step + 1), Now));
  }
}

// Guards against a node that waits for the next frame of another peer after the
// one that it asked has fallen silent.
BOOST_AUTO_TEST_CASE(the_next_holder_is_asked_without_another_frame) {
  config_catch_up CatchUp;
  BOOST_TEST(CatchUp.peerReported(New, Old, Start, true, node_id("a")));
  BOOST_TEST(!CatchUp.nextSource(Old, Start + milliseconds(100)).has_value());
  BOOST_TEST(!CatchUp.peerReported(New, Old, Start + milliseconds(200), true,
                                   node_id("b")));
  BOOST_TEST(!CatchUp.nextSource(Old, Start + milliseconds(500)).has_value());
  BOOST_TEST(
      (CatchUp.nextSource(Old, Start + milliseconds(600)) == node_id("b")));
  // The second answer is waited for twice as long; then the first peer is asked
  // again.
  BOOST_TEST(!CatchUp.nextSource(Old, Start + milliseconds(1'700)).has_value());
  BOOST_TEST(
      (CatchUp.nextSource(Old, Start + milliseconds(1'900)) == node_id("a")));
  BOOST_TEST(!CatchUp.nextSource(New, Start + milliseconds(9'000)).has_value());
}

// Guards against a request that stays bound to a peer whose connection ended.
BOOST_AUTO_TEST_CASE(the_next_holder_is_asked_when_a_connection_ends) {
  config_catch_up CatchUp;
  BOOST_TEST(CatchUp.peerReported(New, Old, Start, true, node_id("a")));
  BOOST_TEST(!CatchUp.peerReported(New, Old, Start, true, node_id("b")));
  CatchUp.connectionEnded(node_id("c"));
  BOOST_TEST(!CatchUp.nextSource(Old, Start + milliseconds(10)).has_value());
  CatchUp.connectionEnded(node_id("a"));
  BOOST_TEST(
      (CatchUp.nextSource(Old, Start + milliseconds(20)) == node_id("b")));
}

// Guards against a node that asked a peer for an intermediate configuration and
// then waits for the next frame of the peer that holds the newest one.
BOOST_AUTO_TEST_CASE(the_holder_of_the_newest_is_asked_after_an_older_answer) {
  config_catch_up CatchUp;
  config_number Between(6);
  BOOST_TEST(CatchUp.peerReported(Between, Old, Start, true, node_id("a")));
  BOOST_TEST(!CatchUp.peerReported(New, Old, Start, true, node_id("b")));
  BOOST_TEST(
      (CatchUp.nextSource(Between, Start + milliseconds(100)) == node_id("b")));
}
