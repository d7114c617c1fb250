// Tests the check of an operator's document: that it agrees with the compiler
// of the nodes, names the place of a mistake, and what the command prints.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include <rapidcheck.h>

#include "commands/check_command.h"
#include "commands/operator_check.h"
#include "platform/operator_json_format.h"

using namespace chivebeam;
namespace json = boost::json;

namespace {

const std::string Examples = CHIVEBEAM_TEST_DATA "/../../examples/mesh/";
const std::string Route = "/virtualHosts/1/paths/0";

json::value soundDocument() {
  return json::parse(R"({"version": 7,
    "services": [{"name": "desk"}, {"name": "kassa", "coldPerS": 4}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000,
               "headerTimeoutS": 3, "idleTimeoutS": 15},
    "tenants": [{"name": "n", "apiKeys": ["secret-1"], "ratePerS": 5,
                 "burst": 2}],
    "virtualHosts": [
      {"host": "a.example", "paths": [
        {"name": "r1", "prefix": "/x/", "routeType": "safe", "timeoutS": 1,
         "weightedServices": [{"service": "desk", "weight": 9},
                              {"service": "kassa", "weight": 1}]}]},
      {"host": "b.example", "paths": [
        {"name": "r2", "prefix": "/x/", "routeType": "upload", "timeoutS": 1,
         "targetLatencyS": 0.2, "priority": 1, "maxAttempts": 2,
         "service": "desk"}]}]})");
}

operator_report check(const std::string &Text) {
  return checkOperatorDocument(platform::operator_json_format(), Text, {});
}

struct run_result {
  int Status = 0;
  std::string Output;
};

/// Runs the program's command line with "check" and Words.
run_result run(std::vector<std::string> Words) {
  Words.insert(Words.begin(), {"chivebeam", "check"});
  std::vector<char *> Arguments;
  Arguments.reserve(Words.size());
  for (std::string &Word : Words)
    Arguments.push_back(Word.data());
  const platform::operator_json_format Format;
  command_list Commands;
  Commands.push_back(std::make_unique<check_command>(Format));
  std::ostringstream Printed;
  std::streambuf *Before = std::cout.rdbuf(Printed.rdbuf());
  int Status = runCommandLine(static_cast<int>(Arguments.size()),
                              Arguments.data(), std::move(Commands));
  std::cout.rdbuf(Before);
  return {Status, Printed.str()};
}

const std::vector<std::string> Fields{
    "/version",
    "/services",
    "/services/1/name",
    "/services/1/coldPerS",
    "/limits",
    "/limits/maxHeaderBytes",
    "/limits/idleTimeoutS",
    "/tenants",
    "/tenants/0/name",
    "/tenants/0/apiKeys",
    "/tenants/0/apiKeys/0",
    "/tenants/0/ratePerS",
    "/tenants/0/burst",
    "/virtualHosts/0/host",
    "/virtualHosts/0/paths",
    "/virtualHosts/0/paths/0/prefix",
    "/virtualHosts/0/paths/0/weightedServices",
    "/virtualHosts/0/paths/0/weightedServices/1/weight",
    Route + "/name",
    Route + "/service",
    Route + "/routeType",
    Route + "/timeoutS",
    Route + "/targetLatencyS",
    Route + "/priority",
    Route + "/maxAttempts",
    Route};

/// Values of all types, valid in some of the fields and broken in others.
const std::vector<json::value> Values{nullptr,
                                      true,
                                      0,
                                      1,
                                      -3,
                                      2.5,
                                      1e300,
                                      "",
                                      "r1",
                                      "desk",
                                      "/x/",
                                      "b.example",
                                      "x:80",
                                      json::array{},
                                      json::object{},
                                      json::array{"secret-1"}};

} // namespace

// What the check accepts, the nodes accept; what they refuse, the check names.
// Each route of a document without findings takes calls.
// Answers a check that repeats the compiler's rules and drifts from them.
BOOST_AUTO_TEST_CASE(the_check_accepts_no_document_that_nodes_refuse) {
  ::setenv("RC_PARAMS", "seed=20261207 max_success=2000", 1);
  bool Holds = rc::check("the check and the nodes' compiler agree", [] {
    json::value Document = soundDocument();
    int Changes = *rc::gen::inRange(0, 4);
    for (int Change = 0; Change < Changes; ++Change) {
      boost::system::error_code Code;
      const std::string &Field = *rc::gen::elementOf(Fields);
      if (json::value *Found = Document.find_pointer(Field, Code))
        *Found = *rc::gen::elementOf(Values);
    }
    std::string Text = json::serialize(Document);
    bool Accepted = platform::operator_json_format().compile(Text).has_value();
    operator_report Report = check(Text);
    RC_CLASSIFY(Accepted, "accepted by nodes");
    RC_CLASSIFY(Report.isValid(), "accepted by the check");
    RC_ASSERT(Accepted || !Report.isValid());
    RC_ASSERT(Changes > 0 || Report.Findings.empty());
    if (Report.Findings.empty())
      for (const route_rule &Rule : Report.Config->routes())
        RC_ASSERT(Report.Config->match(Rule.Host, Rule.PathPrefix, "GET") ==
                  &Rule);
    for (const finding &Finding : Report.Findings) {
      RC_ASSERT(!Finding.Detail.Path.empty());
      RC_ASSERT(!Finding.Detail.Message.empty());
      RC_ASSERT(!Finding.Detail.Remedy.empty());
      RC_ASSERT(Finding.Detail.text().find("secret") == std::string::npos);
    }
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_CASE(a_refused_document_is_answered_with_the_place) {
  const std::vector<std::pair<std::string, json::value>> Broken{
      {"/version", 0},
      {"/services/1/coldPerS", -1},
      {"/limits/idleTimeoutS", -1},
      {"/limits/maxHeaderBytes", -1},
      {"/limits/maxHeaderBytes", std::int64_t{1} << 32},
      {"/limits/maxBodyBytes", -1},
      {"/tenants/0/ratePerS", -1},
      {"/virtualHosts/0/host", 5},
      {"/virtualHosts/0/paths/0/weightedServices/1/weight", -1},
      {Route, 5},
      {Route + "/timeoutS", "1"},
      {Route + "/service", "nobody"},
      {Route + "/name", "r1"}};
  for (const auto &[Field, Value] : Broken) {
    json::value Document = soundDocument();
    Document.at_pointer(Field) = Value;
    operator_report Report = check(json::serialize(Document));
    BOOST_TEST_CONTEXT(Field) {
      BOOST_REQUIRE(Report.Findings.size() == 1u);
      BOOST_TEST((Report.Findings[0].Severity == finding_severity::error));
      BOOST_TEST(Report.Findings[0].Detail.Path == Field);
    }
  }
  json::value Unknown = soundDocument();
  const std::string Targets = "/virtualHosts/0/paths/0/weightedServices";
  Unknown.at_pointer(Targets + "/0/service") = "nobody";
  operator_report Named = check(json::serialize(Unknown));
  BOOST_REQUIRE(Named.Findings.size() == 1u);
  BOOST_TEST(Named.Findings[0].Detail.Path == Targets);
  operator_report Syntax = check("{\"version\": 7,\n \"services\" [");
  BOOST_REQUIRE(Syntax.Findings.size() == 1u);
  BOOST_TEST(Syntax.Findings[0].Detail.text().find("in line 2") !=
             std::string::npos);
  operator_report Twice =
      check("{\"version\": 8," + json::serialize(soundDocument()).substr(1));
  BOOST_REQUIRE(Twice.Findings.size() == 1u);
  BOOST_TEST(Twice.Findings[0].Detail.text().find("\"version\"") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(keys_in_a_wrong_place_are_not_printed) {
  std::string Text = json::serialize(soundDocument());
  const std::string List = R"(["secret-1"])";
  Text.replace(Text.find(List), List.size(), R"({"secret-1":1,"secret-1":2})");
  operator_report Report = check(Text);
  BOOST_TEST(!Report.isValid());
  std::ostringstream Printed;
  printText(Report, Printed);
  printJson(Report, Printed);
  BOOST_TEST(Printed.str().find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(names_with_control_bytes_forge_no_lines) {
  json::value Document = soundDocument();
  Document.at_pointer(Route + "/name") = "r\nvalid: \x1b[2J";
  Document.at_pointer(Route + "/prefix") = "/x";
  std::ostringstream Printed;
  printText(check(json::serialize(Document)), Printed);
  const std::string Text = Printed.str();
  BOOST_TEST(std::count(Text.begin(), Text.end(), '\n') == 2);
  BOOST_TEST(Text.find("r\\x0avalid: \\x1b[2J") != std::string::npos);
}

// Nodes go on with the last good document; the repaired one must be sent.
BOOST_AUTO_TEST_CASE(a_refused_document_in_force_does_not_bar_its_repair) {
  json::value Broken = soundDocument();
  Broken.at_pointer("/virtualHosts/0/host") = 5;
  operator_report Report = checkOperatorDocument(
      platform::operator_json_format(), json::serialize(soundDocument()),
      json::serialize(Broken));
  BOOST_TEST(Report.isValid());
  BOOST_TEST(Report.Changes.empty());
  BOOST_REQUIRE(Report.Findings.size() == 2u);
  BOOST_TEST(Report.Findings[0].Detail.Path == "in force");
  BOOST_TEST(Report.Findings[1].Detail.Path ==
             "in force: /virtualHosts/0/host");
  for (const finding &Finding : Report.Findings)
    BOOST_TEST((Finding.Severity == finding_severity::warning));
}

BOOST_AUTO_TEST_CASE(entries_that_nodes_pass_over_are_warned_of) {
  auto ExpectWarning = [](const json::value &Document,
                          const std::string &Path) {
    operator_report Report = check(json::serialize(Document));
    BOOST_REQUIRE(Report.Findings.size() == 1u);
    BOOST_TEST(Report.isValid());
    BOOST_TEST(Report.Findings[0].Detail.Path == Path);
    BOOST_TEST(!Report.Findings[0].Detail.Remedy.empty());
  };
  struct entry {
    std::string Parent, Field;
    json::value Value;
  };
  for (const entry &Entry :
       std::vector<entry>{{"/services/0", "maxConnections", -1},
                          {"/services/0", "coldPers", 5},
                          {"/tenants/0", "Priorty", 1},
                          {Route, "allowAnonymus", true}}) {
    json::value Document = soundDocument();
    Document.at_pointer(Entry.Parent).as_object()[Entry.Field] = Entry.Value;
    ExpectWarning(Document, Entry.Parent + "/" + Entry.Field);
  }
  json::value NoRate = soundDocument();
  NoRate.at_pointer("/tenants/0/ratePerS") = 0;
  ExpectWarning(NoRate, "/tenants/0/burst");
  json::value Twice = soundDocument();
  Twice.at("services").as_array().push_back(json::object{{"name", "desk"}});
  ExpectWarning(Twice, "/services/0");
}

BOOST_AUTO_TEST_CASE(the_command_answers_scripts_by_status_and_json) {
  const std::string Old = Examples + "in-force.json";
  const std::string New = Examples + "new.json";
  BOOST_TEST(run({"--operator", Old}).Status == 0);
  BOOST_TEST(run({"--operator", Old + "x"}).Status == 1);
  BOOST_TEST(run({"--operator", Old, "--in-force", Old}).Status == 1);
  BOOST_TEST(run({"--operator", Old, "--output", "xml"}).Status == 2);
  BOOST_TEST(run({"--operator", Old, New}).Status == 2);
  BOOST_TEST(run({"--in-force", Old}).Status == 2);
  run_result Result =
      run({"--operator", New, "--in-force", Old, "--output", "json"});
  BOOST_TEST(Result.Status == 1);
  BOOST_TEST(Result.Output.find("example-key") == std::string::npos);
  json::value Report = json::parse(Result.Output);
  BOOST_TEST(!Report.at("valid").as_bool());
  BOOST_TEST(Report.at("version").as_int64() == 42);
  BOOST_TEST(Report.at("in_force").as_int64() == 41);
  const json::object &First = Report.at("findings").at(0).as_object();
  BOOST_TEST(First.at("severity").as_string() == "error");
  BOOST_TEST(First.at("path").as_string() == "route \"stock\"");
  for (const char *Key : {"problem", "remedy"})
    BOOST_TEST(!First.at(Key).as_string().empty());
  BOOST_TEST(Report.at("changes").as_array().size() == 10u);
  BOOST_TEST(Report.at_pointer("/changes/0/kind").as_string() == "removed");
}
