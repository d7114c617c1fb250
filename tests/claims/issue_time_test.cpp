#include <boost/test/unit_test.hpp>

#include "claims/issue_time.h"

using namespace chivebeam;

namespace {

/// The example of RFC 9562, appendix A.6.
constexpr std::string_view TimedKey = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";
constexpr instant Issued{milliseconds(1'645'557'742'000)};
constexpr std::chrono::hours Retention{1};

} // namespace

BOOST_AUTO_TEST_CASE(the_issue_time_of_a_version_7_uuid_is_read) {
  BOOST_REQUIRE(issueTimeOf(TimedKey).has_value());
  BOOST_TEST((*issueTimeOf(TimedKey) == Issued));
}

BOOST_AUTO_TEST_CASE(other_keys_have_no_issue_time) {
  for (std::string_view Key :
       {"demo-1", "", "919108f7-52d1-4320-9bac-f847db4148a8",
        "017F22E2-79B0-7CC3-98C4-DC0C0C07398Z",
        "017F22E2x79B0-7CC3-98C4-DC0C0C07398F"})
    BOOST_TEST(!issueTimeOf(Key).has_value());
}

BOOST_AUTO_TEST_CASE(a_key_is_too_old_before_its_claim_is_removed) {
  BOOST_TEST(!isTooOld(TimedKey, Issued, Retention));
  BOOST_TEST(!isTooOld(TimedKey, Issued + Retention - seconds(60), Retention));
  BOOST_TEST(isTooOld(TimedKey, Issued + Retention - seconds(59), Retention));
  BOOST_TEST(!isTooOld("demo-1", Issued + Retention, Retention));
}
