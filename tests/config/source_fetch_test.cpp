#include <boost/test/unit_test.hpp>

#include <set>

#include "config/source_fetch.h"

using namespace chivebeam;

namespace {

const instant Start{seconds(1'000)};

config_head head(std::uint64_t Number) {
  return {config_number(Number), config_digest(Number * 7)};
}

address peer(std::uint16_t Port) { return {"127.0.0.1", Port}; }

std::optional<fetch_target> nextOf(source_fetch &Fetch, instant Now) {
  return Fetch.next(config_number(1), config_number(), Now);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_holder_that_is_gone_is_replaced_by_another) {
  source_fetch Fetch(1);
  Fetch.headSeen(head(3), peer(1), Start);
  std::optional<fetch_target> First = nextOf(Fetch, Start);
  BOOST_REQUIRE(First);
  BOOST_TEST(!nextOf(Fetch, Start).has_value());
  Fetch.headSeen(head(3), peer(2), Start);
  Fetch.finished(*First, fetch_outcome::failed, Start);
  std::optional<fetch_target> Second = nextOf(Fetch, Start);
  BOOST_REQUIRE(Second);
  BOOST_TEST((Second->Holder == peer(2)));
}

BOOST_AUTO_TEST_CASE(a_lone_holder_is_asked_again_later_and_then_given_up) {
  source_fetch Fetch(2);
  Fetch.headSeen(head(3), peer(1), Start);
  instant Now = Start;
  unsigned Asked = 0;
  microseconds LongestGap{0};
  instant LastAsked = Start;
  for (; Now < Start + seconds(25); Now += milliseconds(10)) {
    std::optional<fetch_target> Target = nextOf(Fetch, Now);
    if (!Target)
      continue;
    LongestGap = std::max<microseconds>(LongestGap, Now - LastAsked);
    LastAsked = Now;
    ++Asked;
    Fetch.finished(*Target, fetch_outcome::failed, Now);
  }
  BOOST_TEST(Asked == 6u);
  BOOST_TEST((LongestGap >= milliseconds(800)));
  // A holder that still reports its head after the give-up period is tried
  // again.
  Fetch.headSeen(head(3), peer(1), Now + seconds(30));
  BOOST_TEST(nextOf(Fetch, Now + seconds(30)).has_value());
}

BOOST_AUTO_TEST_CASE(a_busy_holder_is_not_counted_as_failing) {
  source_fetch Fetch(3);
  Fetch.headSeen(head(3), peer(1), Start);
  instant Now = Start;
  for (int Round = 0; Round < 20; ++Round) {
    std::optional<fetch_target> Target = nextOf(Fetch, Now);
    BOOST_REQUIRE(Target);
    Fetch.finished(*Target, fetch_outcome::busy, Now);
    BOOST_TEST(!nextOf(Fetch, Now).has_value());
    Now += milliseconds(300);
  }
}

BOOST_AUTO_TEST_CASE(requests_spread_over_the_holders) {
  std::set<address> Chosen;
  for (std::uint64_t Seed = 0; Seed < 40; ++Seed) {
    source_fetch Fetch(Seed);
    for (std::uint16_t Port = 1; Port <= 8; ++Port)
      Fetch.headSeen(head(3), peer(Port), Start);
    Chosen.insert(nextOf(Fetch, Start)->Holder);
  }
  BOOST_TEST(Chosen.size() == 8u);
}

BOOST_AUTO_TEST_CASE(a_refused_number_is_skipped_for_the_next_lower_one) {
  source_fetch Fetch(4);
  Fetch.headSeen(head(5), peer(1), Start);
  BOOST_TEST(
      !Fetch.next(config_number(3), config_number(5), Start).has_value());
  Fetch.headSeen(head(4), peer(2), Start);
  std::optional<fetch_target> Target =
      Fetch.next(config_number(3), config_number(5), Start);
  BOOST_REQUIRE(Target);
  BOOST_TEST((Target->Holder == peer(2)));
}

BOOST_AUTO_TEST_CASE(holders_are_bounded_and_the_newest_heads_are_kept) {
  source_fetch Fetch(5);
  for (std::uint16_t Port = 1; Port <= 500; ++Port)
    Fetch.headSeen(head(2), peer(Port), Start);
  BOOST_TEST(Fetch.holderCount() <= 64u);
  Fetch.headSeen(head(9), peer(501), Start);
  BOOST_TEST((nextOf(Fetch, Start)->Holder == peer(501)));
  BOOST_TEST(!Fetch.next(config_number(9), {}, Start).has_value());
  BOOST_TEST(Fetch.holderCount() == 0u);
}

BOOST_AUTO_TEST_CASE(a_digest_mismatch_is_trusted_once_two_holders_agree) {
  source_fetch Fetch(6);
  config_source Source{config_number(3), publish_id("p"), Start, "{}", "{}"};
  config_source Other = Source;
  Other.Rules = "{ }";
  BOOST_TEST(!Fetch.confirmMismatch(Source, peer(1)));
  BOOST_TEST(!Fetch.confirmMismatch(Source, peer(1)));
  BOOST_TEST(!Fetch.confirmMismatch(Other, peer(2)));
  BOOST_TEST(!Fetch.confirmMismatch(Source, peer(2)));
  BOOST_TEST(Fetch.confirmMismatch(Source, peer(3)));
}
