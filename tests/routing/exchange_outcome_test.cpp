// Tests how the end of an exchange with a backend server is classified.
#include <boost/test/unit_test.hpp>

#include "routing/broken_calls.h"
#include "routing/exchange_outcome.h"

using namespace chivebeam;

namespace {

const worker_start Server{worker_id("w-1"), 7};
const call_fingerprint Fingerprint(42);
const instant Start = instant(seconds(100));

} // namespace

BOOST_AUTO_TEST_CASE(only_the_server_s_own_close_is_its_end) {
  auto Classify = [](answer_end Answer, bool GivenUp) {
    return classifyExchange({Answer, GivenUp});
  };
  BOOST_TEST(
      (Classify(answer_end::closed, false) == exchange_outcome::server_closed));
  BOOST_TEST(
      (Classify(answer_end::closed, true) == exchange_outcome::given_up));
  BOOST_TEST(
      (Classify(answer_end::invalid, false) == exchange_outcome::rejected));
  BOOST_TEST(
      (Classify(answer_end::invalid, true) == exchange_outcome::given_up));
}

// Guards against an answer that counts as lost because its caller left or its
// deadline passed at the moment it was complete.
BOOST_AUTO_TEST_CASE(a_complete_answer_is_an_answer) {
  for (bool GivenUp : {false, true})
    BOOST_TEST((classifyExchange({answer_end::complete, GivenUp}) ==
                exchange_outcome::answered));
  BOOST_TEST((classifyExchange({answer_end::until_close, false}) ==
              exchange_outcome::answered_close));
}

// Guards against calls that are blamed for the end of a server long after this
// node gave them up.
BOOST_AUTO_TEST_CASE(a_call_that_was_given_up_counts_for_a_short_time) {
  broken_calls Early;
  Early.addGivenUp(Fingerprint, Server, Start);
  BOOST_TEST(Early.takeEnded(Server, Start + milliseconds(900)).size() == 1u);
  broken_calls Late;
  Late.addGivenUp(Fingerprint, Server, Start);
  BOOST_TEST(Late.takeEnded(Server, Start + milliseconds(1'100)).empty());
}

BOOST_AUTO_TEST_CASE(a_broken_call_counts_until_a_server_would_be_back) {
  broken_calls Calls;
  Calls.add(Fingerprint, Server, Start);
  BOOST_TEST(Calls.takeEnded({worker_id("w-1"), 8}, Start).empty());
  BOOST_TEST(Calls.takeEnded(Server, Start + seconds(7)).size() == 1u);
  BOOST_TEST(Calls.takeEnded(Server, Start + seconds(7)).empty());
}
