#include <boost/test/unit_test.hpp>

#include "base/object_reader.h"
#include "config/compiler.h"
#include "config/config_holder.h"
#include "config/publish_check.h"

using namespace chivebeam;

namespace {

const instant Now{*parseTime("2026-12-04T12:00:00Z")};

std::string registerWith(const std::string &Version) {
  return R"({"failure_domains": [{"name": "a", "region": "r"}],
    "services": [{"name": "kassa", "class": "payment", "workers": 3,
      "slots": 6, "version": ")" +
         Version + R"(", "versions": ["1.0", "1.1"]}]})";
}

std::string moveWith(const std::string &Id, const std::string &Start,
                     const std::string &Deadline) {
  return R"({"id": ")" + Id +
         R"(", "service": "kassa", "from": "1.0", "to": "1.1", "start": ")" +
         Start + R"(", "by": ")" + Deadline + R"("})";
}

std::string rulesWith(const std::string &Moves) {
  return R"({"routes": [{"name": "pay", "path_prefix": "/kassa/",
    "service": "kassa", "deadline_ms": 2000}], "moves": [)" +
         Moves + "]}";
}

snapshot_ptr compiled(const std::string &Register, const std::string &Rules) {
  checked<snapshot_ptr> Compiled =
      compile({config_number(1), publish_id("p"), Now, Register, Rules});
  BOOST_REQUIRE(Compiled.has_value());
  return *Compiled;
}

const std::string StartedMove =
    moveWith("m", "2026-12-04T11:00:00Z", "2026-12-04T13:00:00Z");
const std::string ExtendedMove =
    moveWith("m", "2026-12-04T11:00:00Z", "2026-12-04T14:00:00Z");

std::size_t countMoveConflicts(const snapshot_ptr &Old, const snapshot_ptr &New,
                               const verdict_map &Verdicts) {
  error_list Errors = findMoveConflicts(*Old, *New, Verdicts, Now);
  for (const error &Error : Errors)
    BOOST_TEST(!Error.Remedy.empty());
  return Errors.size();
}

} // namespace

BOOST_AUTO_TEST_CASE(an_unfinished_move_is_not_dropped_or_changed) {
  snapshot_ptr Old = compiled(registerWith("1.0"), rulesWith(StartedMove));
  snapshot_ptr Without = compiled(registerWith("1.0"), rulesWith(""));
  snapshot_ptr Changed = compiled(registerWith("1.0"), rulesWith(ExtendedMove));
  BOOST_TEST(countMoveConflicts(Old, Old, {}) == 0u);
  BOOST_TEST(countMoveConflicts(Old, Without, {}) == 1u);
  BOOST_TEST(countMoveConflicts(Old, Changed, {}) == 1u);
  BOOST_TEST(countMoveConflicts(Without, Old, {}) == 0u);
}

BOOST_AUTO_TEST_CASE(a_move_that_has_not_begun_may_change) {
  snapshot_ptr Old = compiled(
      registerWith("1.0"),
      rulesWith(moveWith("m", "2026-12-04T12:30:00Z", "2026-12-04T13:00:00Z")));
  snapshot_ptr New = compiled(
      registerWith("1.0"),
      rulesWith(moveWith("m", "2026-12-04T12:45:00Z", "2026-12-04T13:00:00Z")));
  BOOST_TEST(countMoveConflicts(Old, New, {}) == 0u);
}

BOOST_AUTO_TEST_CASE(a_finished_move_is_removed_only_if_the_register_agrees) {
  snapshot_ptr Old = compiled(registerWith("1.0"), rulesWith(StartedMove));
  snapshot_ptr Stale = compiled(registerWith("1.0"), rulesWith(""));
  snapshot_ptr Updated = compiled(registerWith("1.1"), rulesWith(""));
  verdict_map Done{{move_id("m"), move_verdict::done}};
  verdict_map TakenBack{{move_id("m"), move_verdict::taken_back}};
  BOOST_TEST(countMoveConflicts(Old, Stale, Done) == 1u);
  BOOST_TEST(countMoveConflicts(Old, Updated, Done) == 0u);
  BOOST_TEST(countMoveConflicts(Old, Stale, TakenBack) == 0u);
  BOOST_TEST(countMoveConflicts(Old, Updated, TakenBack) == 1u);
}

BOOST_AUTO_TEST_CASE(the_id_of_a_finished_move_is_not_used_again) {
  snapshot_ptr Old = compiled(registerWith("1.0"), rulesWith(""));
  snapshot_ptr New = compiled(registerWith("1.0"), rulesWith(StartedMove));
  verdict_map Done{{move_id("m"), move_verdict::done}};
  BOOST_TEST(countMoveConflicts(Old, New, Done) == 1u);
  BOOST_TEST(countMoveConflicts(New, New, Done) == 0u);
}

BOOST_AUTO_TEST_CASE(a_service_without_a_route_is_a_warning) {
  snapshot_ptr Config = compiled(registerWith("1.0"), R"({"routes": []})");
  BOOST_TEST(findWarnings(*Config).size() == 1u);
  BOOST_TEST(
      findWarnings(*compiled(registerWith("1.0"), rulesWith(""))).empty());
}

BOOST_AUTO_TEST_CASE(a_refused_source_stays_refused_without_another_try) {
  config_holder Holder;
  config_source Bad{config_number(5), publish_id("bad"), Now, "{", "{}"};
  config_source Good{config_number(4), publish_id("good"), Now,
                     registerWith("1.0"), rulesWith("")};
  BOOST_TEST((Holder.offer(Bad) == config_outcome::refused));
  BOOST_TEST((Holder.offer(Bad) == config_outcome::known));
  // An older valid configuration that arrives later is still applied, and the
  // errors of the refused one remain available.
  BOOST_TEST((Holder.offer(Good) == config_outcome::applied));
  BOOST_TEST(!Holder.refusal().empty());
  config_source OlderBad = Bad;
  OlderBad.Number = config_number(3);
  BOOST_TEST((Holder.offer(OlderBad) == config_outcome::known));
  BOOST_TEST(Holder.refusedNumber().value() == 5u);
  Good.Number = config_number(6);
  BOOST_TEST((Holder.offer(Good) == config_outcome::applied));
  BOOST_TEST(Holder.refusal().empty());
}

BOOST_AUTO_TEST_CASE(a_source_of_another_digest_than_promised_is_not_applied) {
  config_holder Holder;
  config_source Source{config_number(4), publish_id("p"), Now,
                       registerWith("1.0"), rulesWith("")};
  BOOST_TEST(
      (Holder.offer(Source, config_digest(1)) == config_outcome::mismatched));
  BOOST_TEST(Holder.number().value() == 0u);
  config_digest Right = (*compile(Source))->digest();
  BOOST_TEST((Holder.offer(Source, Right) == config_outcome::applied));
  Source.Id = publish_id("q");
  BOOST_TEST((Holder.offer(Source) == config_outcome::conflicting));
}
