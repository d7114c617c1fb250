#include <boost/test/unit_test.hpp>

#include "base/address.h"
#include "base/object_reader.h"

using namespace chivebeam;

namespace {

std::string pathsOf(const error_list &Errors) {
  std::string Paths;
  for (const error &Error : Errors)
    Paths += Error.Path + " ";
  return Paths;
}

} // namespace

BOOST_AUTO_TEST_CASE(json_with_comments_is_read) {
  BOOST_TEST(parseJson("// note\n{\"a\": 1 /* one */}").has_value());
}

BOOST_AUTO_TEST_CASE(broken_json_is_an_error_with_a_remedy) {
  for (std::string_view Text :
       {"", "{", "{\"a\":}", "[1,]", "{\"a\":1}x", "\x01"}) {
    checked<boost::json::value> Value = parseJson(Text);
    BOOST_REQUIRE(!Value);
    BOOST_TEST(!Value.error().front().Remedy.empty());
  }
}

BOOST_AUTO_TEST_CASE(deep_nesting_is_refused) {
  BOOST_TEST(!parseJson(std::string(100'000, '[')).has_value());
}

BOOST_AUTO_TEST_CASE(a_duplicate_key_is_refused_at_any_depth) {
  BOOST_TEST(!parseJson(R"({"a": [{"b": 1, "b": 2}]})").has_value());
  BOOST_TEST(parseJson(R"({"a": {"b": 1}, "c": {"b": 2}})").has_value());
}

BOOST_AUTO_TEST_CASE(every_wrong_field_is_reported) {
  auto Value = parseJson(R"({"text": 5, "number": "x", "flag": 1,
                             "list": {}, "when": "noon", "odd": null})");
  BOOST_REQUIRE(Value.has_value());
  error_list Errors;
  object_reader Reader(*Value, "", Errors);
  Reader.text("text");
  Reader.integer("number", 0, 9);
  Reader.flagOr("flag", false);
  Reader.forEach("list", true, [](const boost::json::value &, std::string) {});
  Reader.time("when");
  Reader.text("absent");
  Reader.finish();
  BOOST_TEST(pathsOf(Errors) ==
             "/text /number /flag /list /when /absent /odd ");
}

BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_refused) {
  for (std::string_view Text :
       {R"({"n": -1})", R"({"n": 10})", R"({"n": 1.5})", R"({"n": 1e99})",
        R"({"n": 18446744073709551615})"}) {
    auto Value = parseJson(Text);
    BOOST_REQUIRE(Value.has_value());
    error_list Errors;
    object_reader Reader(*Value, "", Errors);
    Reader.integer("n", 0, 9);
    BOOST_TEST(Errors.size() == 1u, Text);
  }
}

BOOST_AUTO_TEST_CASE(times_are_read_and_written_in_utc) {
  std::optional<instant> Time = parseTime("2026-12-04T18:30:00.250Z");
  BOOST_REQUIRE(Time.has_value());
  BOOST_TEST(formatTime(*Time) == "2026-12-04T18:30:00.250Z");
  for (std::string_view Text :
       {"2026-02-30T00:00:00Z", "2026-12-04 18:30:00Z", "2026-12-04T24:00:00Z",
        "2026-12-04T18:30:00", "2026-12-04T18:30:00+05:00", "today"})
    BOOST_TEST(!parseTime(Text).has_value(), Text);
}

BOOST_AUTO_TEST_CASE(addresses_are_ip_and_port) {
  BOOST_TEST(parseAddress("127.0.0.1:80")->text() == "127.0.0.1:80");
  BOOST_TEST(parseAddress("[::1]:80")->text() == "[::1]:80");
  for (std::string Text : {"300.1.1.1:80", "1.2.3:80", "1.2.3.4.5:80",
                           ":::::80", "a:b:c:80", "127.0.0.1:65536"})
    BOOST_TEST(!parseAddress(Text).has_value(), Text);
  BOOST_TEST(isConnectable({"127.0.0.1", 1}));
  BOOST_TEST(!isConnectable({"127.0.0.1", 0}));
  BOOST_TEST(!isConnectable({"300.1.1.1", 1}));
  for (std::string_view Text : {"", ":80", "host:80", "127.0.0.1", "127.0.0.1:",
                                "127.0.0.1:70000", "127.0.0.1:8x"})
    BOOST_TEST(!parseAddress(Text).has_value(), Text);
}
