#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>
#include <sstream>

#include "node/node_settings.h"

using namespace chivebeam;

namespace {

std::string sampleText() {
  std::ifstream File(CHIVEBEAM_TEST_DATA "/../../examples/node.settings.jsonc");
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::string replaceOnce(std::string Text, std::string_view From,
                        std::string_view To) {
  std::size_t Position = Text.find(From);
  BOOST_REQUIRE(Position != std::string::npos);
  return Text.replace(Position, From.size(), To);
}

std::set<std::string> errorPaths(const std::string &Text) {
  checked<node_settings> Settings = readSettings(Text);
  BOOST_REQUIRE(!Settings);
  std::set<std::string> Paths;
  for (const error &Error : Settings.error()) {
    BOOST_TEST(!Error.Remedy.empty(), Error.Path);
    Paths.insert(Error.Path);
  }
  return Paths;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_documented_sample_is_valid) {
  checked<node_settings> Settings = readSettings(sampleText());
  BOOST_REQUIRE(Settings.has_value());
  BOOST_TEST(Settings->Traffic.text() == "127.0.0.1:8080");
  BOOST_TEST(Settings->Limits.WorkerConnections == 100u);
}

BOOST_AUTO_TEST_CASE(a_control_address_off_loopback_is_refused) {
  std::string Text =
      replaceOnce(sampleText(), "127.0.0.1:7402", "10.0.0.1:7402");
  BOOST_TEST(errorPaths(Text).contains("/control_address"));
}

BOOST_AUTO_TEST_CASE(a_relay_address_with_another_ip_is_refused) {
  std::string Text =
      replaceOnce(sampleText(), "127.0.0.1:7401", "127.0.0.2:7401");
  BOOST_TEST(errorPaths(Text).contains("/relay_address"));
}

BOOST_AUTO_TEST_CASE(an_unknown_limit_is_refused) {
  std::string Text =
      replaceOnce(sampleText(), "\"drain_limit_ms\"", "\"drain_limit\"");
  BOOST_TEST(errorPaths(Text).contains("/limits/drain_limit"));
}

BOOST_AUTO_TEST_CASE(every_missing_field_is_reported) {
  std::set<std::string> Paths = errorPaths("{}");
  for (std::string_view Path :
       {"/fleet", "/node", "/region", "/failure_domain", "/traffic_address",
        "/peer_address", "/relay_address", "/control_address", "/store"})
    BOOST_TEST(Paths.contains(std::string(Path)), Path);
}

BOOST_AUTO_TEST_CASE(an_empty_store_list_is_refused) {
  std::string Text = replaceOnce(sampleText(), "[\"127.0.0.1:2379\"]", "[]");
  BOOST_TEST(errorPaths(Text).contains("/store"));
}
