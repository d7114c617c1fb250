#include <boost/test/unit_test.hpp>

#include "config/compiler.h"
#include "stand_ins/fake_store.h"
#include "store/publisher.h"
#include "store/verdict_record.h"

using namespace chivebeam;
using namespace chivebeam::stand_ins;

namespace {

const fleet_name Fleet("f");
const store_keys Keys(Fleet);
const std::string Register = R"({
  "failure_domains": [{"name": "a", "region": "r"}],
  "services": [{"name": "kassa", "class": "payment", "workers": 3, "slots": 6,
                "version": "1.0", "versions": ["1.0", "1.1"]}]})";

std::string rules(unsigned DeadlineMs, const std::string &Moves = "") {
  return R"({"routes": [{"name": "pay", "path_prefix": "/kassa/",
    "service": "kassa", "deadline_ms": )" +
         std::to_string(DeadlineMs) + R"(}], "moves": [)" + Moves + "]}";
}

const std::string Move = R"({"id": "m", "service": "kassa", "from": "1.0",
  "to": "1.1", "start": "1970-01-01T00:00:00Z", "by": "1999-01-01T00:00:00Z"})";

struct publisher_fixture {
  asio::io_context Context{1};
  virtual_time Time{Context};
  fake_platform Platform{Time};

  publish_request request(const std::string &Id, const std::string &Rules) {
    publish_request Request;
    Request.Draft = {config_number(), publish_id(Id), Time.now(), Register,
                     Rules};
    checked<snapshot_ptr> Compiled = compile(Request.Draft);
    BOOST_REQUIRE(Compiled.has_value());
    Request.Compiled = *Compiled;
    return Request;
  }

  /// Starts a publication; its report is set once virtual time has advanced far
  /// enough.
  std::shared_ptr<std::optional<publish_report>>
  start(publish_request Request) {
    auto Report = std::make_shared<std::optional<publish_report>>();
    auto Store = std::make_shared<fake_store>(Platform, seconds(3));
    auto Publisher = std::make_shared<publisher>(*Store, Fleet);
    asio::co_spawn(Context, Publisher->publish(std::move(Request)),
                   [Report, Store, Publisher](const std::exception_ptr &,
                                              publish_report Done) {
                     *Report = std::move(Done);
                   });
    return Report;
  }

  publish_report publish(publish_request Request) {
    auto Report = start(std::move(Request));
    Time.advance(seconds(60));
    BOOST_REQUIRE(Report->has_value());
    return **Report;
  }
};

std::uint64_t numberOf(const publish_report &Report) {
  return Report.Source.Number.value();
}

} // namespace

BOOST_FIXTURE_TEST_CASE(numbers_rise_by_one_and_equal_content_is_not_published,
                        publisher_fixture) {
  publish_report First = publish(request("a", rules(1'000)));
  BOOST_TEST((First.Outcome == publish_outcome::done));
  BOOST_TEST(numberOf(First) == 1u);
  publish_report Same = publish(request("b", "// again\n" + rules(1'000)));
  BOOST_TEST((Same.Outcome == publish_outcome::unchanged));
  BOOST_TEST(numberOf(Same) == 1u);
  BOOST_TEST(Platform.keysUnder(Keys.sources()).size() == 1u);
  BOOST_TEST(numberOf(publish(request("c", rules(2'000)))) == 2u);
}

BOOST_FIXTURE_TEST_CASE(
    the_loser_of_two_racing_publications_gets_the_winners_id,
    publisher_fixture) {
  Platform.Latency = milliseconds(5);
  auto First = start(request("a", rules(1'000)));
  auto Second = start(request("b", rules(2'000)));
  Time.advance(seconds(1));
  BOOST_REQUIRE((First->has_value() && Second->has_value()));
  BOOST_TEST(((*First)->Outcome == publish_outcome::done));
  BOOST_TEST(((*Second)->Outcome == publish_outcome::lost_race));
  BOOST_TEST((*Second)->Source.Id.str() == "a");
}

BOOST_FIXTURE_TEST_CASE(a_lost_answer_is_resolved_and_published_once,
                        publisher_fixture) {
  Platform.LoseAnswers = 1;
  publish_report Report = publish(request("a", rules(1'000)));
  BOOST_TEST((Report.Outcome == publish_outcome::done));
  BOOST_TEST(Platform.keysUnder(Keys.sources()).size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_slow_store_gives_an_unknown_outcome,
                        publisher_fixture) {
  Platform.Latency = milliseconds(10);
  auto Report = start(request("a", rules(1'000)));
  Time.advance(milliseconds(5)); // the head is being read
  Platform.Latency = seconds(4);
  Time.advance(seconds(60));
  BOOST_REQUIRE(Report->has_value());
  BOOST_TEST(((*Report)->Outcome == publish_outcome::unknown));
  // The commit took effect after its deadline; publishing again changes
  // nothing.
  Platform.Latency = seconds(0);
  publish_report Again = publish(request("b", rules(1'000)));
  BOOST_TEST((Again.Outcome == publish_outcome::unchanged));
  BOOST_TEST(Again.Source.Id.str() == "a");
}

BOOST_FIXTURE_TEST_CASE(a_publication_is_unavailable_while_the_store_is_down,
                        publisher_fixture) {
  Platform.Down = true;
  publish_report Report = publish(request("a", rules(1'000)));
  BOOST_TEST((Report.Outcome == publish_outcome::unavailable));
}

BOOST_FIXTURE_TEST_CASE(an_unfinished_move_is_kept_unless_dropping_is_allowed,
                        publisher_fixture) {
  publish(request("a", rules(1'000, Move)));
  publish_report Refused = publish(request("b", rules(1'000)));
  BOOST_TEST((Refused.Outcome == publish_outcome::refused));
  BOOST_REQUIRE(!Refused.Problems.empty());
  BOOST_TEST(!Refused.Problems.front().Remedy.empty());
  publish_request Permitted = request("c", rules(1'000));
  Permitted.MayDropMoves = true;
  BOOST_TEST((publish(Permitted).Outcome == publish_outcome::done));
}

BOOST_FIXTURE_TEST_CASE(a_move_with_a_verdict_may_be_removed,
                        publisher_fixture) {
  publish(request("a", rules(1'000, Move)));
  move_progress Progress;
  Progress.Id = move_id("m");
  Progress.Phase = move_phase::taken_back;
  Platform.put(Keys.verdict(Progress.Id), writeVerdict(Progress, Time.now()));
  BOOST_TEST(
      (publish(request("b", rules(1'000))).Outcome == publish_outcome::done));
}

BOOST_FIXTURE_TEST_CASE(numbers_continue_above_the_fleet_if_the_store_is_behind,
                        publisher_fixture) {
  publish(request("a", rules(1'000)));
  publish_request Request = request("b", rules(1'000));
  Request.FleetNumber = config_number(5);
  publish_report Report = publish(Request);
  BOOST_TEST((Report.Outcome == publish_outcome::done));
  BOOST_TEST(numberOf(Report) == 6u);
}

BOOST_FIXTURE_TEST_CASE(a_source_larger_than_a_value_is_refused,
                        publisher_fixture) {
  std::string Long = rules(1'000) + "//" + std::string(1'100'000, 'x');
  publish_report Report = publish(request("a", Long));
  BOOST_TEST((Report.Outcome == publish_outcome::refused));
  BOOST_TEST((Report.Problems.front().Kind == error_kind::over_limit));
  BOOST_TEST(Platform.keysUnder(Keys.state()).empty());
}
