#include "config/rule_set.h"

#include <algorithm>

#include "base/object_reader.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxDeadlineMillis = 600'000;
constexpr std::int64_t DefaultRetryBudgetPercent = 10;

/// True if Text is an HTTP method in capital letters.
bool isMethod(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char Byte) {
    return Byte >= 'A' && Byte <= 'Z';
  });
}

void readMethods(object_reader &Reader, route_rule &Rule) {
  Reader.forEach("methods", false, [&](const json::value &Value, std::string) {
    std::string Method =
        Value.is_string() ? std::string(Value.get_string()) : "";
    if (!isMethod(Method))
      Reader.fail("methods", json::serialize(Value) + " is not a method",
                  "write each method in capitals and quotes, as in \"GET\"");
    else if (std::find(Rule.Methods.begin(), Rule.Methods.end(), Method) !=
             Rule.Methods.end())
      Reader.fail("methods", "\"" + Method + "\" stands twice",
                  "write it once");
    else
      Rule.Methods.push_back(std::move(Method));
  });
}

route_rule readRoute(const json::value &Value, std::string Path,
                     error_list &Errors) {
  object_reader Reader(Value, std::move(Path), Errors);
  route_rule Rule;
  Rule.Name = route_name(Reader.text("name"));
  Rule.Host = Reader.textOr("host", "");
  Rule.PathPrefix = Reader.text("path_prefix");
  if (!Rule.PathPrefix.empty() && Rule.PathPrefix.front() != '/')
    Reader.fail("path_prefix", "does not start with \"/\"",
                "write it as in \"/kassa/\"");
  readMethods(Reader, Rule);
  Rule.Service = service_name(Reader.text("service"));
  Rule.Idempotent = Reader.flagOr("idempotent", false);
  Rule.Deadline =
      milliseconds(Reader.integer("deadline_ms", 1, MaxDeadlineMillis));
  Rule.RetryBudgetPercent = static_cast<unsigned>(Reader.integer(
      "retry_budget_percent", 0, 100, DefaultRetryBudgetPercent));
  Reader.finish();
  return Rule;
}

} // namespace

move_rule readMoveRule(const json::value &Value, std::string Path,
                       error_list &Errors) {
  object_reader Reader(Value, std::move(Path), Errors);
  move_rule Rule;
  Rule.Id = move_id(Reader.text("id"));
  Rule.Service = service_name(Reader.text("service"));
  Rule.From = version_name(Reader.text("from"));
  Rule.To = version_name(Reader.text("to"));
  Rule.Start = Reader.time("start");
  Rule.Deadline = Reader.time("by");
  Rule.Brief = Reader.flagOr("brief", false);
  if (Rule.Deadline <= Rule.Start && Rule.Deadline != instant())
    Reader.fail("by", "is not after \"start\"", "set a later time");
  if (!Rule.From.empty() && Rule.From == Rule.To)
    Reader.fail("to", "is the same version as \"from\"",
                "name the version that traffic moves to");
  Reader.finish();
  return Rule;
}

checked<rule_set> readRules(const json::value &Document) {
  error_list Errors;
  rule_set Rules;
  object_reader Reader(Document, "", Errors);
  Reader.forEach(
      "routes", true, [&](const json::value &Value, std::string Path) {
        Rules.Routes.push_back(readRoute(Value, std::move(Path), Errors));
      });
  Reader.forEach(
      "moves", false, [&](const json::value &Value, std::string Path) {
        Rules.Moves.push_back(readMoveRule(Value, std::move(Path), Errors));
      });
  Reader.finish();
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Rules;
}

} // namespace chivebeam
