// Tests to which workspace a key belongs and which workspaces are refused.
#include <boost/test/unit_test.hpp>

#include "config/key_check.h"
#include "config/snapshot_builder.h"

using namespace chivebeam;

namespace {

checked<snapshot_ptr> build(std::vector<workspace> Workspaces) {
  asset_register Register;
  Register.Services.emplace_back().Service = service_name("desk");
  rule_set Rules;
  route_rule Keyed;
  Keyed.Name = route_name("keyed");
  Keyed.PathPrefix = "/";
  Keyed.Service = service_name("desk");
  route_rule Open = Keyed;
  Open.Name = route_name("open");
  Open.PathPrefix = "/open/";
  Open.AllowsAnonymous = true;
  Rules.Routes = {Keyed, Open};
  Rules.Workspaces = std::move(Workspaces);
  return snapshot_builder()
      .withNumber(config_number(1))
      .withRegister(std::move(Register))
      .withRules(std::move(Rules))
      .build();
}

workspace holder(std::string Name, std::vector<std::string> Keys) {
  workspace Workspace;
  Workspace.Name = workspace_name(std::move(Name));
  for (std::string &Key : Keys)
    Workspace.Keys.emplace_back(std::move(Key));
  return Workspace;
}

} // namespace

// Answers callers without a key, with a guessed key, and with no workspaces at
// all, as in configurations without keys.
BOOST_AUTO_TEST_CASE(only_the_keys_of_workspaces_open_a_route) {
  checked<snapshot_ptr> Built =
      build({holder("north", {"k1", "k2"}), holder("south", {"k3"})});
  BOOST_REQUIRE(Built);
  const snapshot &Config = **Built;
  const route_rule &Keyed = *Config.match("", "/a", "GET");
  const route_rule &Open = *Config.match("", "/open/a", "GET");
  BOOST_TEST(checkKey(Config, Keyed, api_key("k2"))->Workspace->Name.str() ==
             "north");
  BOOST_TEST(checkKey(Config, Open, api_key("k3"))->Workspace->Name.str() ==
             "south");
  for (std::string Unknown : {"", "k", "k4", "k11"}) {
    BOOST_TEST(!checkKey(Config, Keyed, api_key(Unknown)));
    BOOST_TEST(!checkKey(Config, Open, api_key(Unknown))->Workspace);
  }
  BOOST_TEST(isKeyOf(Config, api_key("k1"), workspace_name("north")));
  BOOST_TEST(!isKeyOf(Config, api_key("k1"), workspace_name("south")));
  checked<snapshot_ptr> Plain = build({});
  BOOST_REQUIRE(Plain);
  BOOST_TEST(checkKey(**Plain, (*Plain)->routes()[0], api_key()).has_value());
}

// Answers a configuration that would give one key to two workspaces or set a
// cap that means nothing. No message may contain a key, since it is logged.
BOOST_AUTO_TEST_CASE(wrong_workspaces_are_refused_without_naming_a_key) {
  workspace Negative = holder("c", {});
  Negative.Cap.RatePerSecond = -1;
  workspace NoRate = holder("d", {});
  NoRate.Cap.Burst = 5;
  checked<snapshot_ptr> Built =
      build({holder("a", {"secret", ""}), holder("b", {"secret"}), Negative,
             NoRate, holder("a", {}), holder("", {})});
  BOOST_REQUIRE(!Built);
  std::vector<std::string> Paths;
  for (const error &Error : Built.error()) {
    Paths.push_back(Error.Path);
    BOOST_TEST(!Error.Remedy.empty());
    BOOST_TEST(Error.text().find("secret") == std::string::npos);
  }
  std::sort(Paths.begin(), Paths.end());
  BOOST_TEST(Paths == (std::vector<std::string>{
                          "/workspaces/0/keys/1", "/workspaces/1/keys/0",
                          "/workspaces/2/rate", "/workspaces/3/burst",
                          "/workspaces/4/name", "/workspaces/5/name"}),
             boost::test_tools::per_element());
}
