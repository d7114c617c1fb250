// Tests when a call asks several home nodes for a free slot.
#include <boost/test/unit_test.hpp>

#include "routing/free_slot_odds.h"

using namespace chivebeam;

namespace {

const service_name Service("s");

/// Records answers at 20 a second for a second; every N-th has a free slot.
instant recordAnswers(free_slot_odds &Odds, instant Now, int Nth) {
  for (int Answer = 1; Answer <= 20; ++Answer) {
    Now += milliseconds(50);
    Odds.record(Service, Answer % Nth == 0, Now);
  }
  return Now;
}

} // namespace

// Answers a shortage: asking stops while hardly any server has a free slot, and
// begins again when no answers tell of it any more.
BOOST_AUTO_TEST_CASE(a_shortage_ends_the_search_for_a_free_slot) {
  free_slot_odds Odds;
  instant Now = instant(seconds(1'000));
  BOOST_TEST(Odds.isLikely(Service, Now));
  Now = recordAnswers(Odds, Now, 20);
  BOOST_TEST(!Odds.isLikely(Service, Now));
  BOOST_TEST(Odds.isLikely(service_name("other"), Now));
  BOOST_TEST(Odds.isLikely(Service, Now + seconds(5)));
}

// Answers uneven load: some servers are busy, others are not.
BOOST_AUTO_TEST_CASE(uneven_load_keeps_the_search_going) {
  free_slot_odds Odds;
  instant Now = recordAnswers(Odds, instant(seconds(1'000)), 2);
  BOOST_TEST(Odds.isLikely(Service, Now));
}

// Answers a shortage that ends.
BOOST_AUTO_TEST_CASE(free_slots_start_the_search_again) {
  free_slot_odds Odds;
  instant Now = recordAnswers(Odds, instant(seconds(1'000)), 20);
  Now = recordAnswers(Odds, Now, 1);
  BOOST_TEST(Odds.isLikely(Service, Now));
}
