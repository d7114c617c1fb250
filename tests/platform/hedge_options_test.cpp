// Tests which limits for hedged requests the command line may set.
#include <boost/test/unit_test.hpp>

#include "platform/hedge_options.h"

using namespace chivebeam;
using namespace chivebeam::platform;

BOOST_AUTO_TEST_CASE(routes_may_have_lower_limits) {
  auto Limits = readHedgeOptions(5, {"read=0", "a=b=5"});
  BOOST_REQUIRE(Limits.has_value());
  BOOST_TEST(Limits->RoutePercent.at(route_name("read")) == 0u);
  BOOST_TEST(Limits->RoutePercent.at(route_name("a=b")) == 5u);
}

BOOST_AUTO_TEST_CASE(wrong_limits_are_refused_with_option_and_remedy) {
  auto Wrong = readHedgeOptions(5, {"read", "=3", "read=", "read=-1",
                                    "read=2.5", "read=6", "a=1", "a=2"});
  BOOST_REQUIRE(!Wrong.has_value());
  BOOST_TEST(Wrong.error().size() == 7u);
  for (const error &Error : Wrong.error()) {
    BOOST_TEST(Error.Path.starts_with("--hedge-route "));
    BOOST_TEST(!Error.Remedy.empty());
  }
  BOOST_TEST(Wrong.error()[5].text().find("0 to") != std::string::npos);
  BOOST_TEST(!readHedgeOptions(21, {}).has_value());
}
