#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "moves/sequential_evaluator.h"
#include "sessions/session_player.h"

using namespace chivebeam;

namespace {

std::vector<std::filesystem::path> goldenFiles() {
  std::vector<std::filesystem::path> Paths;
  for (const auto &Entry :
       std::filesystem::directory_iterator(CHIVEBEAM_TEST_DATA "/golden"))
    Paths.push_back(Entry.path());
  std::sort(Paths.begin(), Paths.end());
  return Paths;
}

std::string textOf(const std::filesystem::path &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

checked<std::string> play(const std::string &Text) {
  sequential_evaluator Evaluator;
  move_decider Decider(Evaluator);
  return session_player(Decider).play(Text);
}

} // namespace

BOOST_AUTO_TEST_CASE(every_golden_session_comes_out_as_recorded) {
  BOOST_TEST(goldenFiles().size() >= 2u);
  for (const std::filesystem::path &Path : goldenFiles()) {
    BOOST_TEST_CONTEXT(Path.filename()) {
      std::string Text = textOf(Path);
      BOOST_TEST(isSession(Text));
      checked<std::string> Played = play(Text);
      BOOST_REQUIRE(Played.has_value());
      BOOST_TEST((*Played == Text),
                 "run scripts/refresh-sessions to see the differences");
    }
  }
}

BOOST_AUTO_TEST_CASE(a_changed_decision_is_noticed) {
  std::string Text = textOf(goldenFiles().front());
  std::size_t Position = Text.find("\"got\":\"");
  BOOST_REQUIRE(Position != std::string::npos);
  Text.insert(Position + 7, "not ");
  checked<std::string> Played = play(Text);
  BOOST_REQUIRE(Played.has_value());
  BOOST_TEST(*Played != Text);
}

BOOST_AUTO_TEST_CASE(a_malformed_line_is_reported_by_its_number) {
  for (std::string_view Text :
       {"{\"do\":\"call\"}", "{\"do\":\"start\",\"node\":\"a\"}",
        "{\"do\":\"start\",\"node\":\"a\",\"domain\":\"d\",\"at\":"
        "\"2026-12-04T05:00:00Z\"}\n{\"do\":\"dance\"}"}) {
    checked<std::string> Played = play(std::string(Text));
    BOOST_REQUIRE(!Played.has_value());
    BOOST_TEST(Played.error().front().Path.starts_with("line "));
    BOOST_TEST(!Played.error().front().Remedy.empty());
  }
}

BOOST_AUTO_TEST_CASE(lines_before_the_first_configuration_are_reported) {
  std::string Start = "{\"do\":\"start\",\"node\":\"a\",\"domain\":\"d\","
                      "\"at\":\"2026-12-04T05:00:00Z\"}\n";
  checked<std::string> Early =
      play(Start + "{\"do\":\"take_back\",\"move\":\"m\",\"reason\":\"r\"}\n");
  BOOST_REQUIRE(Early.has_value());
  BOOST_TEST(Early->find("not known yet") != std::string::npos);
  checked<std::string> Traffic =
      play(Start + "{\"do\":\"traffic\",\"service\":\"s\",\"route\":\"r\","
                   "\"for_ms\":1000,\"per_second\":5}\n");
  BOOST_REQUIRE(!Traffic.has_value());
  BOOST_TEST(!Traffic.error().front().Remedy.empty());
}
