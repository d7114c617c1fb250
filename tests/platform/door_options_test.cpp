// Tests the check of the options that set the limits of the doors.
#include <boost/test/unit_test.hpp>

#include "platform/door_options.h"

using namespace chivebeam;
using namespace chivebeam::platform;

namespace {

result<door_limits> read(const std::vector<std::string> &Arguments) {
  command::option_list Options;
  addDoorOptions(Options);
  command::option_values Values;
  boost::program_options::store(
      boost::program_options::command_line_parser(Arguments)
          .options(Options)
          .run(),
      Values);
  return readDoorOptions(Values);
}

} // namespace

BOOST_AUTO_TEST_CASE(without_options_the_limits_of_the_doors_are_the_defaults) {
  result<door_limits> Limits = read({});
  BOOST_REQUIRE(Limits);
  BOOST_TEST(Limits->RequestMemoryPercent == 43.75);
  BOOST_TEST(Limits->AnswerMemoryPercent == 18.75);
  BOOST_TEST(Limits->SmallBodyBytes == 65'536u);
  BOOST_TEST(Limits->ReservedDescriptors == 500u);
  BOOST_TEST(Limits->MinBytesPerSecond == 1'024u);
  BOOST_TEST((Limits->MinRequestAge == milliseconds(500)));
  BOOST_TEST(door_limits::part(160 << 20, 43.75) == (160u << 20) / 16 * 7);
}

BOOST_AUTO_TEST_CASE(options_set_the_limits_of_the_doors) {
  result<door_limits> Limits =
      read({"--request-memory-percent=30", "--answer-memory-percent=40",
            "--small-body-kib=16", "--reserved-descriptors=900",
            "--slow-bytes-per-s=0", "--slow-after-ms=2000"});
  BOOST_REQUIRE(Limits);
  BOOST_TEST(Limits->RequestMemoryPercent == 30);
  BOOST_TEST(Limits->AnswerMemoryPercent == 40);
  BOOST_TEST(Limits->SmallBodyBytes == 16'384u);
  BOOST_TEST(Limits->ReservedDescriptors == 900u);
  BOOST_TEST(Limits->MinBytesPerSecond == 0u);
  BOOST_TEST((Limits->minAnswerAge() == seconds(8)));
}

BOOST_AUTO_TEST_CASE(a_limit_out_of_its_range_is_named_with_a_remedy) {
  for (const auto &[Argument, Text] :
       std::vector<std::pair<std::string, std::string>>{
           {"--answer-memory-percent=4.5",
            "--answer-memory-percent: 4.5 is out of range; use 5 to 60"},
           {"--request-memory-percent=nan",
            "--request-memory-percent: nan is out of range; use 5 to 60"},
           {"--slow-after-ms=99", "--slow-after-ms: 99 is out of range; use a "
                                  "whole number from 100 to 60000"},
           {"--reserved-descriptors=500.5",
            "--reserved-descriptors: 500.5 is out of range; use a whole number "
            "from 50 to 1000000"},
           {"--slow-bytes-per-s=-1", "--slow-bytes-per-s: -1 is out of range; "
                                     "use a whole number from 0 to 1048576"},
           {"--request-memory-percent=60",
            "--request-memory-percent and --answer-memory-percent: together "
            "they are 78.75; use at most 70, since the program itself needs "
            "the rest"}}) {
    result<door_limits> Limits = read({Argument});
    BOOST_REQUIRE(!Limits);
    BOOST_TEST(Limits.error().text() == Text);
  }
}
