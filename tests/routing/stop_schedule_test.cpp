// Tests which calls a node starts that is about to stop.
#include <boost/test/unit_test.hpp>

#include "routing/stop_schedule.h"

using namespace chivebeam;

namespace {

const instant Start = instant(seconds(100'000));

} // namespace

BOOST_AUTO_TEST_CASE(a_stop_leaves_time_for_answers_and_the_exit) {
  stop_schedule Stop(Start, seconds(6));
  BOOST_TEST((Stop.callersGoneAt() == Start + milliseconds(2'800)));
  BOOST_TEST((Stop.runUntil() == Start + seconds(5)));
  BOOST_TEST((Stop.answerUntil() == Start + milliseconds(5'500)));
  stop_schedule Short(Start, milliseconds(2'400));
  BOOST_TEST((Short.callersGoneAt() == Short.runUntil()));
}

// Guards against a call that is taken although it can't end in time.
BOOST_AUTO_TEST_CASE(a_call_starts_only_if_it_ends_in_time) {
  stop_schedule Stop(Start, seconds(6));
  const instant FarDeadline = Start + seconds(30);
  for (milliseconds Now : {milliseconds(0), milliseconds(2'700)}) {
    BOOST_TEST(Stop.mayStart(FarDeadline, milliseconds(200), Start + Now));
    // Its deadline ends it at the latest.
    BOOST_TEST(Stop.mayStart(Stop.answerUntil(), seconds(60), Start + Now));
  }
  BOOST_TEST(Stop.mayStart(FarDeadline, seconds(2), Start + seconds(2)));
  BOOST_TEST(
      !Stop.mayStart(FarDeadline, seconds(2), Start + milliseconds(2'001)));
  BOOST_TEST(!Stop.mayStart(FarDeadline, seconds(4), Start));
}
