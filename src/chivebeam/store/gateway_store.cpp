#include "store/gateway_store.h"

#include "net/http_reads.h"
#include "net/trailerless_parser.h"
#include "store/gateway_json.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxAnswerBytes = 16 << 20;
constexpr std::size_t MaxWatchLineBytes = 4 << 20;

error invalidAnswer(const address &Server, std::string Message) {
  return {error_kind::unavailable, Server.text(), std::move(Message),
          "check that the address is the platform's key-value service"};
}

error unknownEffect(const address &Server, std::string Message) {
  error Error = invalidAnswer(Server, std::move(Message));
  Error.Kind = error_kind::unknown_effect;
  return Error;
}

/// A call that was refused with status 4xx took no effect; after any other
/// answer that can't be parsed, the call may have taken effect.
result<json::object> parseAnswer(const address &Server,
                                 const http_response &Response) {
  if (Response.result() != http::status::ok) {
    std::string Message = "answered " + std::to_string(Response.result_int()) +
                          ": " + Response.body().substr(0, 200);
    bool Refused = http::to_status_class(Response.result()) ==
                   http::status_class::client_error;
    return tl::unexpected(Refused ? invalidAnswer(Server, std::move(Message))
                                  : unknownEffect(Server, std::move(Message)));
  }
  boost::system::error_code Code;
  json::value Value = json::parse(Response.body(), Code);
  if (Code || !Value.is_object())
    return tl::unexpected(
        unknownEffect(Server, "answered without a JSON object"));
  return Value.get_object();
}

} // namespace

gateway_store::gateway_store(std::vector<address> StoreServers,
                             milliseconds Timeout)
    : Servers(std::move(StoreServers)), CallTimeout(Timeout) {}

void gateway_store::useNextServer() {
  Client.reset();
  Current = (Current + 1) % Servers.size();
}

awaitable<result<json::object>> gateway_store::post(std::string Target,
                                                    json::object Body) {
  if (!Client)
    Client = std::make_unique<http_client>(Servers[Current], MaxAnswerBytes);
  http_request Request =
      makeRequest(http::verb::post, Target, json::serialize(Body));
  result<http_response> Response =
      co_await Client->call(std::move(Request), CallTimeout);
  if (!Response) {
    useNextServer();
    co_return tl::unexpected(Response.error());
  }
  co_return parseAnswer(Servers[Current], *Response);
}

awaitable<result<range_answer>> gateway_store::range(std::string Key,
                                                     bool IsPrefix) {
  json::object Body = rangeToJson(Key, IsPrefix);
  result<json::object> Answer = co_await post("/v3/kv/range", std::move(Body));
  if (!Answer)
    co_return tl::unexpected(Answer.error());
  co_return rangeFromJson(*Answer);
}

awaitable<result<range_answer>>
gateway_store::page(std::string Prefix, std::string After, unsigned Limit) {
  json::object Body = pageToJson(Prefix, After, Limit);
  result<json::object> Answer = co_await post("/v3/kv/range", std::move(Body));
  if (!Answer)
    co_return tl::unexpected(Answer.error());
  co_return rangeFromJson(*Answer);
}

awaitable<result<transaction_answer>>
gateway_store::commit(store_transaction Transaction) {
  json::object Body = transactionToJson(Transaction);
  result<json::object> Answer = co_await post("/v3/kv/txn", std::move(Body));
  if (!Answer)
    co_return tl::unexpected(Answer.error());
  transaction_answer Done;
  const json::value *Succeeded = Answer->if_contains("succeeded");
  Done.Succeeded = Succeeded && Succeeded->is_bool() && Succeeded->get_bool();
  if (result<range_answer> Header = rangeFromJson(*Answer))
    Done.Revision = Header->Revision;
  co_return Done;
}

awaitable<result<lease_id>> gateway_store::grantLease(seconds TimeToLive) {
  json::object Body;
  Body["TTL"] = std::to_string(TimeToLive.count());
  result<json::object> Answer =
      co_await post("/v3/lease/grant", std::move(Body));
  if (!Answer)
    co_return tl::unexpected(Answer.error());
  co_return lease_id(numberField(*Answer, "ID"));
}

awaitable<result<bool>> gateway_store::keepLease(lease_id Lease) {
  json::object Body;
  Body["ID"] = std::to_string(Lease.value());
  result<json::object> Answer =
      co_await post("/v3/lease/keepalive", std::move(Body));
  if (!Answer)
    co_return tl::unexpected(Answer.error());
  const json::value *Inner = Answer->if_contains("result");
  co_return Inner && Inner->is_object() &&
      numberField(Inner->get_object(), "TTL") > 0;
}

awaitable<result<void>> gateway_store::revokeLease(lease_id Lease) {
  json::object Body;
  Body["ID"] = std::to_string(Lease.value());
  result<json::object> Answer =
      co_await post("/v3/lease/revoke", std::move(Body));
  if (!Answer)
    co_return tl::unexpected(Answer.error());
  co_return result<void>();
}

void gateway_store::cancelWatch() {
  if (WatchStream)
    WatchStream->cancel();
}

awaitable<error> gateway_store::readWatch(beast::tcp_stream &Stream,
                                          const watch_handler &Handler) {
  const address Server = Servers[Current];
  beast::flat_buffer Buffer(MaxUnparsedAnswerBytes);
  trailerless_response_parser<http::buffer_body> Parser;
  Parser.body_limit(boost::none);
  error_code Code = co_await readAnswerHead(Stream, Buffer, Parser);
  Stream.expires_never();
  std::string Pending;
  std::array<char, 16 << 10> Chunk;
  while (!Code && !Parser.is_done()) {
    Parser.get().body().data = Chunk.data();
    Parser.get().body().size = Chunk.size();
    Code = co_await readSome(Stream, Buffer, Parser);
    if (Code == http::error::need_buffer)
      Code = {};
    Pending.append(Chunk.data(), Chunk.size() - Parser.get().body().size);
    if (Pending.size() > MaxWatchLineBytes)
      co_return invalidAnswer(Server, "sent a watch message that is too long");
    for (std::size_t End = Pending.find('\n'); End != std::string::npos;
         End = Pending.find('\n')) {
      error_code ParseCode;
      json::value Line = json::parse(Pending.substr(0, End), ParseCode);
      Pending.erase(0, End + 1);
      const json::value *Result = !ParseCode && Line.is_object()
                                      ? Line.get_object().if_contains("result")
                                      : nullptr;
      if (!Result || !Result->is_object())
        co_return invalidAnswer(
            Server, "sent a watch message with an unexpected JSON structure");
      const json::object &Object = Result->get_object();
      if (numberField(Object, "compact_revision") > 0)
        co_return error{error_kind::not_found, Server.text(),
                        "the revision was compacted",
                        "read the keys and watch from the new revision"};
      result<range_answer> Header = rangeFromJson(Object);
      Handler(Header ? Header->Revision : store_revision(),
              eventsFromJson(Object));
    }
  }
  co_return error{error_kind::unavailable, Server.text(),
                  "the watch ended: " + Code.message(),
                  "start the watch again"};
}

awaitable<error> gateway_store::watch(std::string Prefix, store_revision From,
                                      watch_handler Handler) {
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  WatchStream = &Stream;
  Stream.expires_after(CallTimeout);
  error_code Code;
  co_await Stream.async_connect(toTcp(Servers[Current]), orError(Code));
  http_request Request =
      makeRequest(http::verb::post, "/v3/watch",
                  json::serialize(watchToJson(Prefix, From)));
  Request.set(http::field::host, Servers[Current].text());
  Request.prepare_payload();
  if (!Code)
    co_await http::async_write(Stream, Request, orError(Code));
  error Ended{error_kind::unavailable, Servers[Current].text(), Code.message(),
              "check that the store is running"};
  if (!Code)
    Ended = co_await readWatch(Stream, Handler);
  WatchStream = nullptr;
  co_return Ended;
}

} // namespace chivebeam
