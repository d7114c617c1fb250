#include "data/call_headers.h"

#include <charconv>

#include <boost/json.hpp>

namespace chivebeam {

namespace {

/// True for fields that stay even if Connection lists them: removing them would
/// change the meaning of the message.
bool isEndToEnd(beast::string_view Name) {
  return beast::iequals(Name, "content-length") ||
         beast::iequals(Name, "transfer-encoding") ||
         beast::iequals(Name, "host") || beast::iequals(Name, "expect") ||
         Name.starts_with("Chivebeam-");
}

} // namespace

std::string_view toString(call_result Result) {
  switch (Result) {
  case call_result::not_run:
    return "not-run";
  case call_result::unknown:
    return "unknown";
  case call_result::ran:
    return "ran";
  }
  return "unknown";
}

void removeConnectionFields(http::fields &Fields) {
  std::vector<std::string> Named;
  for (const auto &Token : http::token_list(Fields[http::field::connection]))
    if (!isEndToEnd(Token))
      Named.emplace_back(Token);
  for (const std::string &Name : Named)
    Fields.erase(Name);
  for (http::field Name :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_connection, http::field::te, http::field::trailer,
        http::field::upgrade, http::field::expect})
    Fields.erase(Name);
}

void removeHopByHopFields(http::fields &Fields) {
  removeConnectionFields(Fields);
  for (std::string_view Name : {OutcomeField, VersionField, RouteField,
                                ClassField, FreeSlotsField, TimeoutField})
    Fields.erase(toBeast(Name));
}

http::response<http::string_body> makeProblem(const problem &Problem,
                                              std::string_view RequestId) {
  boost::json::object Body;
  Body["type"] = "about:blank";
  Body["status"] = static_cast<int>(Problem.Status);
  Body["title"] = Problem.Title;
  Body["detail"] = Problem.Remedy;
  Body["outcome"] = toString(Problem.Result);
  http::response<http::string_body> Response(Problem.Status, 11);
  Response.set(http::field::content_type, "application/problem+json");
  Response.set(toBeast(OutcomeField), toBeast(toString(Problem.Result)));
  Response.set(toBeast(RequestIdField), toBeast(RequestId));
  if (Problem.RetryAfter.count() > 0)
    Response.set(http::field::retry_after,
                 std::to_string(Problem.RetryAfter.count()));
  Response.body() = boost::json::serialize(Body);
  return Response;
}

std::optional<std::int64_t>
parseNumber(std::string_view Text, std::int64_t Default, std::int64_t Max) {
  if (Text.empty())
    return Default;
  std::int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Last, Code] = std::from_chars(Text.data(), End, Number);
  if (Code != std::errc() || Last != End || Number < 0 || Number > Max)
    return std::nullopt;
  return Number;
}

} // namespace chivebeam
