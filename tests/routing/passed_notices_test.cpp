// Tests what a node remembers of the answers that it passed on.
#include <boost/test/unit_test.hpp>

#include "routing/passed_notices.h"

using namespace chivebeam;

namespace {

const instant Now = instant(seconds(1'000));
const worker_start First{worker_id("w"), 1};
const worker_start Second{worker_id("w"), 2};

server_notice leaving() {
  server_notice Notice;
  Notice.IsLeaving = true;
  return Notice;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_later_answer_does_not_take_back_that_a_server_leaves) {
  passed_notices Notices;
  Notices.answered(First, leaving(), Now);
  Notices.answered(First, {}, Now);
  BOOST_TEST(Notices.isLeaving(First));
}

BOOST_AUTO_TEST_CASE(a_late_answer_of_a_predecessor_marks_no_later_start) {
  passed_notices Notices;
  server_notice Limited;
  Limited.RateLimit = call_rate{3};
  Notices.answered(Second, Limited, Now);
  Notices.answered(First, leaving(), Now);
  BOOST_TEST(!Notices.isLeaving(Second));
  BOOST_TEST(!Notices.isLeaving(First));
  BOOST_TEST(Notices.rateLimit(Second).has_value());
}

BOOST_AUTO_TEST_CASE(a_limit_is_forgotten_with_the_answer_that_ends_it) {
  passed_notices Notices;
  server_notice Limited;
  Limited.RateLimit = call_rate{3};
  Notices.answered(First, Limited, Now);
  server_notice Invalid;
  Invalid.IsRateLimitInvalid = true;
  Notices.answered(First, Invalid, Now);
  BOOST_REQUIRE(Notices.rateLimit(First).has_value());
  BOOST_TEST(Notices.rateLimit(First)->PerSecond == 3);
  BOOST_TEST(!Notices.rateLimit(Second).has_value());
  Notices.answered(First, {}, Now);
  BOOST_TEST(!Notices.rateLimit(First).has_value());
}
