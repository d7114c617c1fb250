#include "data/request_checks.h"

#include <algorithm>

namespace chivebeam {

namespace {

constexpr std::int64_t MaxTimeoutMillis = 600'000;
constexpr std::int64_t MaxDepth = 1'000;
constexpr unsigned Http11 = 11;

problem makeRefusal(http::status Status, std::string Title,
                    std::string Remedy) {
  return {Status, call_result::not_run, std::move(Title), std::move(Remedy),
          seconds(0)};
}

std::string titleOf(std::string_view Field, std::string_view Fault) {
  std::string Title(Field);
  Title.append(Fault);
  return Title;
}

bool isPlainToken(beast::string_view Text) {
  return Text.size() <= MaxTokenBytes &&
         std::all_of(Text.begin(), Text.end(),
                     [](char Char) { return Char > ' ' && Char < 127; });
}

std::optional<problem> checkFraming(const http::request_header<> &Header) {
  auto Encoding = Header[http::field::transfer_encoding];
  bool Encoded = Header.count(http::field::transfer_encoding) > 0;
  if (Encoded && Header.count(http::field::content_length) > 0)
    return makeRefusal(http::status::bad_request,
                       "both Content-Length and Transfer-Encoding are given",
                       "send only one of them");
  if (Encoded && (Header.count(http::field::transfer_encoding) > 1 ||
                  !beast::iequals(Encoding, "chunked")))
    return makeRefusal(http::status::not_implemented,
                       "this Transfer-Encoding is not supported",
                       "send the body chunked or with Content-Length");
  if (Encoded && Header.version() < Http11)
    return makeRefusal(http::status::bad_request,
                       "HTTP/1.0 has no Transfer-Encoding",
                       "send Content-Length, or use HTTP/1.1");
  if (Header.count(http::field::content_length) > 1)
    return makeRefusal(http::status::bad_request, "Content-Length stands twice",
                       "send it once");
  return std::nullopt;
}

std::optional<problem> checkHost(const http::request_header<> &Header) {
  std::size_t Hosts = Header.count(http::field::host);
  if (Hosts > 1 || (Hosts == 0 && Header.version() >= Http11))
    return makeRefusal(http::status::bad_request,
                       "there is not exactly one Host", "send one Host field");
  return std::nullopt;
}

std::optional<problem> checkMethod(const http::request_header<> &Header) {
  if (Header.method() == http::verb::connect)
    return makeRefusal(http::status::not_implemented,
                       "CONNECT is not supported",
                       "call the service by its path");
  if (http::token_list(Header[http::field::connection]).exists("upgrade"))
    return makeRefusal(http::status::not_implemented,
                       "upgrades of the connection are not supported",
                       "send it without Connection: Upgrade");
  auto Expect = Header[http::field::expect];
  if (!Expect.empty() && !beast::iequals(Expect, "100-continue"))
    return makeRefusal(http::status::expectation_failed,
                       "this expectation is not supported",
                       "use Expect: 100-continue or leave it out");
  return std::nullopt;
}

std::optional<problem>
checkChivebeamFields(const http::request_header<> &Header) {
  for (std::string_view Name : {RequestIdField, TenantField, StickyKeyField})
    if (!isPlainToken(Header[toBeast(Name)]))
      return makeRefusal(
          http::status::bad_request, titleOf(Name, " is not a plain token"),
          "use at most 128 visible ASCII letters without spaces");
  if (!parseNumber(fieldOf(Header, TimeoutField), 0, MaxTimeoutMillis))
    return makeRefusal(http::status::bad_request,
                       titleOf(TimeoutField, " is not a time"),
                       "write whole milliseconds, at most 600000");
  if (!parseNumber(fieldOf(Header, DepthField), 0, MaxDepth))
    return makeRefusal(http::status::bad_request,
                       titleOf(DepthField, " is not a depth"),
                       "copy it unchanged from the call that is being run");
  return std::nullopt;
}

} // namespace

std::optional<problem> checkRequest(const http::request_header<> &Header) {
  for (auto *Check :
       {checkFraming, checkHost, checkMethod, checkChivebeamFields})
    if (std::optional<problem> Problem = Check(Header))
      return Problem;
  return std::nullopt;
}

std::optional<problem> problemOf(const error_code &Code, call_result Result) {
  if (Code == http::error::end_of_stream ||
      Code == http::error::partial_message ||
      Code.category() !=
          http::make_error_code(http::error::end_of_stream).category())
    return std::nullopt;
  problem Problem{http::status::bad_request, Result, "", "", seconds(0)};
  Problem.Title = "the request is malformed: " + Code.message();
  Problem.Remedy = "send a well-formed HTTP/1.1 request";
  if (Code == http::error::header_limit) {
    Problem.Status = http::status::request_header_fields_too_large;
    Problem.Remedy = "send fewer or shorter header fields";
  } else if (Code == http::error::body_limit) {
    Problem.Status = http::status::payload_too_large;
    Problem.Remedy = "send a smaller body";
  }
  return Problem;
}

} // namespace chivebeam
