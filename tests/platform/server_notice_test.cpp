// Tests what is read from an answer about the backend server itself.
#include <boost/test/unit_test.hpp>

#include "platform/http_protocol.h"

using namespace chivebeam;
using namespace chivebeam::platform;

namespace {

server_notice noticeIn(const header_list &Fields) {
  return http_call_protocol().noticeIn(Fields);
}

} // namespace

BOOST_AUTO_TEST_CASE(an_answer_without_notice_names_neither_limit_nor_leaving) {
  server_notice Notice = noticeIn({{"Request-Id", "1"}});
  BOOST_TEST(!Notice.RateLimit);
  BOOST_TEST(!Notice.IsRateLimitInvalid);
  BOOST_TEST(!Notice.IsLeaving);
}

BOOST_AUTO_TEST_CASE(a_rate_limit_is_a_decimal_number) {
  for (auto [Text, Rate] : {std::pair("26.1", 26.1),
                            {"0", 0.0},
                            {" 7 ", 7.0},
                            {"100000000000000000000", 1e20}}) {
    server_notice Notice = noticeIn({{"server-limit", Text}});
    BOOST_REQUIRE(Notice.RateLimit.has_value());
    BOOST_TEST(Notice.RateLimit->PerSecond == Rate);
    BOOST_TEST(!Notice.IsRateLimitInvalid);
  }
}

BOOST_AUTO_TEST_CASE(a_rate_limit_that_is_no_number_or_negative_is_invalid) {
  for (std::string Text :
       {"", "many", "-1", "-0", "nan", "inf", "7 calls", "1e400", "7,8"}) {
    server_notice Notice = noticeIn({{"Server-Limit", Text}});
    BOOST_TEST(!Notice.RateLimit, Text);
    BOOST_TEST(Notice.IsRateLimitInvalid, Text);
  }
}

BOOST_AUTO_TEST_CASE(the_lowest_of_several_rate_limits_counts) {
  server_notice Notice =
      noticeIn({{"Server-Limit", "8"}, {"Server-Limit", "3.5"}});
  BOOST_REQUIRE(Notice.RateLimit.has_value());
  BOOST_TEST(Notice.RateLimit->PerSecond == 3.5);
}

BOOST_AUTO_TEST_CASE(a_server_leaves_if_the_field_is_one) {
  BOOST_TEST(noticeIn({{"Server-Leaving", "1"}}).IsLeaving);
  BOOST_TEST(!noticeIn({{"Server-Leaving", "0"}}).IsLeaving);
  BOOST_TEST(!noticeIn({{"Server-Leaving", "no"}}).IsLeaving);
}
