// Tests what the review of a configuration finds, that it finds nothing in a
// sound one, and what is said to change for callers.
#include <boost/test/unit_test.hpp>

#include <functional>

#include "config/config_comparison.h"
#include "config/config_review.h"
#include "config/snapshot_builder.h"

using namespace chivebeam;

namespace {

/// The parts of a configuration, which each test changes.
struct parts {
  std::uint64_t Number = 1;
  asset_register Register;
  rule_set Rules;
};

route_rule route(const std::string &Name, const std::string &Prefix,
                 const std::string &Service) {
  route_rule Route;
  Route.Name = route_name(Name);
  Route.Host = "a.example";
  Route.PathPrefix = Prefix;
  Route.Service = service_name(Service);
  Route.Deadline = milliseconds(1'200);
  Route.Goal = milliseconds(400);
  Route.MaxWorkers = 2;
  return Route;
}

workspace holder(const std::string &Name, std::vector<std::string> Keys,
                 usage_cap Cap) {
  workspace Workspace;
  Workspace.Name = workspace_name(Name);
  Workspace.Cap = Cap;
  for (std::string &Key : Keys)
    Workspace.Keys.emplace_back(std::move(Key));
  return Workspace;
}

parts sound() {
  parts Parts;
  for (const char *Name : {"desk", "kassa"})
    Parts.Register.Services.emplace_back().Service = service_name(Name);
  Parts.Rules.Routes = {route("all", "/", "desk"),
                        route("pay", "/pay/", "kassa")};
  Parts.Rules.Workspaces = {holder("north", {"secret-1", "secret-2"}, {50, 10}),
                            holder("south", {"secret-3"}, {})};
  return Parts;
}

using edit = std::function<void(parts &)>;

snapshot_ptr built(const edit &Edit) {
  parts Parts = sound();
  Edit(Parts);
  checked<snapshot_ptr> Built = snapshot_builder()
                                    .withNumber(config_number(Parts.Number))
                                    .withRegister(std::move(Parts.Register))
                                    .withRules(std::move(Parts.Rules))
                                    .build();
  BOOST_REQUIRE(Built.has_value());
  return *Built;
}

/// Compares the sound configuration with the edited one. Returns the texts of
/// the changes, and checks that none contains a key.
std::vector<std::string> changesOf(const edit &Edit) {
  std::vector<std::string> Texts;
  for (const config_change &Change :
       compareConfigs(*built([](parts &) {}), *built(Edit))) {
    Texts.push_back(std::string(toString(Change.Kind)) + " " + Change.Path +
                    ": " + Change.What + "; " + Change.Effect);
    BOOST_TEST(Texts.back().find("secret") == std::string::npos);
    BOOST_TEST(!Change.Effect.empty());
  }
  return Texts;
}

struct mistake {
  edit Edit;
  finding_severity Severity;
  std::string Path;
  std::string Part; ///< of the message
};

constexpr finding_severity Refused = finding_severity::error;
constexpr finding_severity Warned = finding_severity::warning;

} // namespace

// Answers each mistake of an operator alone, so that a finding can't hide
// behind another one.
BOOST_AUTO_TEST_CASE(each_mistake_is_found_and_a_sound_configuration_has_none) {
  auto Second = [](auto Change) {
    return [Change](parts &Parts) { Change(Parts.Rules.Routes[1]); };
  };
  auto Limits = [](auto Change) {
    return [Change](parts &Parts) { Change(Parts.Rules.Limits); };
  };
  auto Split = [&](std::vector<weighted_service> Parts) {
    return Second([Parts](route_rule &Route) { Route.Split = Parts; });
  };
  const service_name Desk("desk");
  const service_name Kassa("kassa");
  const std::string Pay = "route \"pay\"";
  const std::vector<mistake> Mistakes{
      {Second([](route_rule &R) { R.Host = "a.example:80"; }), Refused, Pay,
       "without their port"},
      {Second([](route_rule &R) { R.Host = "*.example"; }), Refused, Pay,
       "as they are written"},
      {Second([](route_rule &R) { R.Host = "A.example"; }), Warned, Pay,
       "capitals"},
      {Second([](route_rule &R) { R.Host = ""; }), Warned, Pay, "every host"},
      {Second([](route_rule &R) { R.PathPrefix = "pay/"; }), Refused, Pay,
       "paths begin with"},
      {Second([](route_rule &R) { R.PathPrefix = "/pay/?a="; }), Refused, Pay,
       "without query"},
      {Second([](route_rule &R) { R.PathPrefix = "/pay"; }), Warned, Pay,
       "\"/payx\""},
      {Second([](route_rule &R) { R.PathPrefix = ""; }), Warned, Pay, "empty"},
      {Second([](route_rule &R) { R.Deadline = milliseconds(0); }), Warned, Pay,
       "default"},
      {Second([](route_rule &R) { R.Deadline = milliseconds(300); }), Warned,
       Pay, "latency goal of 0.4 s is over its timeout of 0.3 s"},
      {Second([](route_rule &R) { R.MaxWorkers = 0; }), Warned, Pay,
       "0 attempts"},
      {Split({{Desk, 0}, {Kassa, 0}}), Refused, Pay, "all weights are 0"},
      {Split({{Desk, 1}, {Kassa, 0}}), Warned, Pay, "weight 0"},
      {Split({{Kassa, 1}, {Kassa, 2}}), Warned, Pay, "twice"},
      {[](parts &P) { P.Rules.Routes.pop_back(); }, Warned, "service \"kassa\"",
       "no route"},
      {[](parts &P) { P.Rules.Workspaces[1].Keys.clear(); }, Warned,
       "workspace \"south\"", "no keys"},
      {[](parts &P) { P.Rules.Workspaces[0].Cap.Burst = 0.5; }, Warned,
       "workspace \"north\"", "burst under 1"},
      {Limits([](caller_limits &L) { L.MaxHeaderBytes = 0; }), Refused,
       "limits", "header bytes"},
      {Limits([](caller_limits &L) { L.MaxBodyBytes = 0; }), Warned, "limits",
       "413"},
      {Limits([](caller_limits &L) { L.HeaderTimeout = milliseconds(0); }),
       Warned, "limits", "408"},
      {Limits([](caller_limits &L) { L.IdleTimeout = milliseconds(0); }),
       Warned, "limits", "one call only"}};
  BOOST_TEST(reviewConfig(*built([](parts &) {})).empty());
  for (const mistake &Mistake : Mistakes) {
    BOOST_TEST_CONTEXT(Mistake.Part) {
      finding_list Found = reviewConfig(*built(Mistake.Edit));
      BOOST_REQUIRE(Found.size() == 1u);
      BOOST_TEST((Found[0].Severity == Mistake.Severity));
      BOOST_TEST(Found[0].Detail.Path == Mistake.Path);
      BOOST_TEST(Found[0].Detail.Message.find(Mistake.Part) !=
                 std::string::npos);
      BOOST_TEST(!Found[0].Detail.Remedy.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(keys_that_nobody_has_close_routes_that_need_one) {
  auto WithoutKeys = [](bool Anonymous) {
    return built([Anonymous](parts &Parts) {
      for (workspace &Workspace : Parts.Rules.Workspaces)
        Workspace.Keys.clear();
      for (route_rule &Route : Parts.Rules.Routes)
        Route.AllowsAnonymous = Anonymous;
    });
  };
  BOOST_TEST((reviewConfig(*WithoutKeys(false)).back().Severity == Refused));
  BOOST_TEST((reviewConfig(*WithoutKeys(true)).back().Severity == Warned));
}

BOOST_AUTO_TEST_CASE(a_version_that_is_not_above_the_one_in_force_is_an_error) {
  snapshot_ptr First = built([](parts &) {});
  snapshot_ptr Second = built([](parts &Parts) { Parts.Number = 2; });
  BOOST_TEST(reviewUpdate(*First, *Second).empty());
  BOOST_TEST(reviewUpdate(*First, *First).size() == 1u);
  BOOST_TEST((reviewUpdate(*Second, *First).at(0).Severity == Refused));
}

BOOST_AUTO_TEST_CASE(each_difference_says_what_changes_for_callers) {
  auto Expect = [](const edit &Edit, std::vector<std::string> Texts) {
    BOOST_TEST(changesOf(Edit) == Texts, boost::test_tools::per_element());
  };
  Expect([](parts &) {}, {});
  Expect(
      [](parts &P) {
        P.Rules.Routes[0].Split = {{service_name("desk"), 3}};
      },
      {});
  Expect([](parts &P) { P.Rules.Workspaces.push_back(holder("w", {}, {})); },
         {"added workspace \"w\": with 0 keys; none; no call belongs to it"});
  Expect([](parts &P) { P.Rules.Routes.pop_back(); },
         {"removed route \"pay\": ; calls of a.example/pay/ now: route "
          "\"all\", service \"desk\""});
  Expect(
      [](parts &P) { P.Rules.Routes.push_back(route("x", "/x/", "kassa")); },
      {"added route \"x\": ; calls of a.example/x/ now: route \"x\", service "
       "\"kassa\"; before: route \"all\", service \"desk\""});
  Expect([](parts &P) { P.Rules.Routes[1].PathPrefix = "/till/"; },
         {"changed route \"pay\": calls of a.example/pay/ -> a.example/till/; "
          "calls of a.example/pay/ now: route \"all\", service \"desk\"; calls "
          "of a.example/till/ before: route \"all\", service \"desk\""});
  Expect(
      [](parts &P) {
        P.Rules.Routes.erase(P.Rules.Routes.begin());
        P.Rules.Routes[0].Deadline = milliseconds(800);
      },
      {"removed route \"all\": ; calls of a.example/ now: 404",
       "changed route \"pay\": timeout 1.2 s -> 0.8 s; calls over 0.8 s end "
       "with 504"});
  Expect(
      [](parts &P) {
        P.Rules.Workspaces[0].Cap = {5, 2};
      },
      {"changed workspace \"north\": usage cap 50/s, burst 10 -> 5/s, burst "
       "2; calls over 5/s and a burst of 2 get 429"});
  Expect([](parts &P) { P.Rules.Workspaces[0].Priority = 2; },
         {"changed workspace \"north\": priority 0 -> 2; under a shortage, its "
          "calls go after those of more other workspaces; a third of them goes "
          "first all the same"});
  Expect([](parts &P) { P.Rules.Limits.MaxBodyBytes = 1'000; },
         {"changed limits: body bytes 67108864 -> 1000; calls with more than "
          "1000 bytes get 413"});
}

// Keys are counted, also those that change their workspace.
BOOST_AUTO_TEST_CASE(removed_added_and_passed_on_keys_are_counted) {
  auto Expect = [](const edit &Edit, std::vector<std::string> Texts) {
    BOOST_TEST(changesOf(Edit) == Texts, boost::test_tools::per_element());
  };
  Expect([](parts &P) { P.Rules.Workspaces.pop_back(); },
         {"removed workspace \"south\": with 1 key; calls with 1 key get 401"});
  Expect(
      [](parts &P) {
        P.Rules.Workspaces = {holder("north", {"secret-2"}, {50, 10}),
                              holder("south", {"secret-1"}, {})};
      },
      {"changed workspace \"north\": 1 key removed; calls with 1 key belong "
       "to another workspace",
       "changed workspace \"south\": 1 key removed; calls with 1 key get 401",
       "changed workspace \"south\": 1 key added; calls with new keys belong "
       "to the workspace"});
  Expect(
      [](parts &P) { P.Rules.Workspaces.clear(); },
      {"removed workspaces: ; calls need no key on any route",
       "removed workspace \"north\": with 2 keys; calls need no key any more",
       "removed workspace \"south\": with 1 key; calls need no key any "
       "more"});
}
