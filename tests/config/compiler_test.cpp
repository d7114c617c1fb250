#include <boost/test/unit_test.hpp>

#include <set>

#include "config/compiler.h"
#include "config/config_holder.h"

using namespace chivebeam;

namespace {

const std::string Register = R"({
  "failure_domains": [{"name": "a", "region": "r"}],
  "services": [{"name": "kassa", "class": "payment", "workers": 3, "slots": 6,
                "version": "1.0", "versions": ["1.0", "1.1"]}]})";
const std::string Rules = R"({
  "routes": [{"name": "pay", "path_prefix": "/kassa/", "service": "kassa",
              "deadline_ms": 2000}]})";

config_source source(std::uint64_t Number, std::string RulesText) {
  return {config_number(Number), publish_id("p"), instant(), Register,
          std::move(RulesText)};
}

} // namespace

BOOST_AUTO_TEST_CASE(equal_documents_give_equal_digests) {
  auto First = compile(source(1, Rules));
  auto Second = compile(source(2, "// a comment\n" + Rules));
  BOOST_REQUIRE(First && Second);
  BOOST_TEST(((*First)->digest() == (*Second)->digest()));
}

BOOST_AUTO_TEST_CASE(every_mistake_is_reported_with_its_path) {
  auto Compiled = compile(source(1, R"({"routes": [
    {"name": "a", "path_prefix": "x", "service": "kassa", "deadline_ms": 0},
    {"name": "b", "path_prefix": "/y", "service": "none", "deadline_ms": 5,
     "color": 1}]})"));
  BOOST_REQUIRE(!Compiled);
  std::set<std::string> Paths;
  for (const error &Error : Compiled.error()) {
    Paths.insert(Error.Path);
    BOOST_TEST(!Error.Remedy.empty());
  }
  BOOST_TEST(Paths.contains("rules:/routes/0/path_prefix"));
  BOOST_TEST(Paths.contains("rules:/routes/0/deadline_ms"));
  BOOST_TEST(Paths.contains("rules:/routes/1/color"));
}

BOOST_AUTO_TEST_CASE(a_route_to_a_missing_service_is_refused) {
  auto Compiled = compile(source(1, R"({"routes": [
    {"name": "b", "path_prefix": "/y", "service": "none", "deadline_ms": 5}]})"));
  BOOST_REQUIRE(!Compiled);
  BOOST_TEST(Compiled.error().front().Path == "rules:/routes/0/service");
}

BOOST_AUTO_TEST_CASE(a_duplicate_key_is_refused) {
  auto Compiled = compile(source(1, R"({"routes": [], "routes": []})"));
  BOOST_REQUIRE(!Compiled);
  BOOST_TEST(Compiled.error().front().Message.find("routes") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_number_never_falls) {
  config_holder Holder;
  BOOST_TEST((Holder.offer(source(5, Rules)) == config_outcome::applied));
  BOOST_TEST((Holder.offer(source(4, Rules)) == config_outcome::known));
  BOOST_TEST((Holder.offer(source(5, Rules)) == config_outcome::known));
  BOOST_TEST(Holder.number().value() == 5u);
}

BOOST_AUTO_TEST_CASE(a_refused_configuration_leaves_the_last_good_one) {
  config_holder Holder;
  Holder.offer(source(1, Rules));
  BOOST_TEST((Holder.offer(source(2, "{")) == config_outcome::refused));
  BOOST_TEST(Holder.number().value() == 1u);
  BOOST_TEST(Holder.refusedNumber().value() == 2u);
}

BOOST_AUTO_TEST_CASE(two_routes_for_the_same_calls_are_refused) {
  auto Compiled = compile(source(1, R"({"routes": [
    {"name": "a", "path_prefix": "/k/", "methods": ["GET", "PUT"],
     "service": "kassa", "deadline_ms": 5},
    {"name": "b", "path_prefix": "/k/", "methods": ["POST", "GET"],
     "service": "kassa", "deadline_ms": 5},
    {"name": "c", "path_prefix": "/k/", "service": "kassa", "deadline_ms": 5},
    {"name": "d", "path_prefix": "/k/", "host": "h", "service": "kassa",
     "deadline_ms": 5}]})"));
  BOOST_REQUIRE(!Compiled);
  BOOST_TEST(Compiled.error().size() == 1u);
  BOOST_TEST(Compiled.error().front().Path == "rules:/routes/1/path_prefix");
}

BOOST_AUTO_TEST_CASE(methods_are_in_capitals_and_listed_once) {
  auto Compiled = compile(source(1, R"({"routes": [
    {"name": "a", "path_prefix": "/k/", "methods": ["get", "PUT", "PUT", 4],
     "service": "kassa", "deadline_ms": 5}]})"));
  BOOST_REQUIRE(!Compiled);
  BOOST_TEST(Compiled.error().size() == 3u);
}
