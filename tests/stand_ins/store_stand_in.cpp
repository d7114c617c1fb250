#include "stand_ins/store_stand_in.h"

#include "net/clock.h"
#include "store/base64.h"
#include "store/gateway_json.h"

namespace chivebeam::stand_ins {

namespace json = boost::json;

namespace {

constexpr milliseconds WatchPollInterval{5};
constexpr milliseconds ExpireInterval{100};
constexpr std::size_t MaxRequestBytes = 8 << 20;

std::string keyField(const json::object &Object, std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  if (!Found || !Found->is_string())
    return {};
  return decodeBase64(std::string_view(Found->get_string())).value_or("");
}

json::object header(store_revision Revision) {
  json::object Header;
  Header["revision"] = std::to_string(Revision.value());
  return Header;
}

json::object entryToJson(const store_entry &Entry) {
  json::object Out;
  Out["key"] = encodeBase64(Entry.Key);
  Out["value"] = encodeBase64(Entry.Value);
  Out["mod_revision"] = std::to_string(Entry.ModifiedAt.value());
  return Out;
}

store_condition conditionFromJson(const json::object &Object) {
  return {keyField(Object, "key"),
          store_revision(numberField(Object, "mod_revision"))};
}

std::optional<store_put> putFromJson(const json::object &Object) {
  const json::value *Put = Object.if_contains("request_put");
  if (!Put || !Put->is_object())
    return std::nullopt;
  const json::object &Fields = Put->get_object();
  return store_put{keyField(Fields, "key"), keyField(Fields, "value"),
                   lease_id(numberField(Fields, "lease"))};
}

} // namespace

store_stand_in::store_stand_in(asio::io_context &IoContext)
    : Context(IoContext), Acceptor(IoContext) {}

result<address> store_stand_in::listen(const address &ListenAddress) {
  result<address> Bound = openAcceptor(Acceptor, ListenAddress);
  if (!Bound)
    return Bound;
  asio::co_spawn(Context, acceptLoop(), asio::detached);
  asio::co_spawn(Context, expireLoop(), asio::detached);
  return Bound;
}

awaitable<void> store_stand_in::expireLoop() {
  while (Acceptor.is_open()) {
    co_await sleepFor(ExpireInterval);
    Data.expire(currentTime());
  }
}

awaitable<void> store_stand_in::acceptLoop() {
  while (Acceptor.is_open()) {
    error_code Code;
    tcp::socket Socket = co_await Acceptor.async_accept(orError(Code));
    if (!Code)
      asio::co_spawn(Context, serve(std::move(Socket)), asio::detached);
  }
}

awaitable<void> store_stand_in::serve(tcp::socket Socket) {
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Buffer;
  while (co_await serveOne(Stream, Buffer)) {
  }
}

awaitable<bool> store_stand_in::serveOne(beast::tcp_stream &Stream,
                                         beast::flat_buffer &Buffer) {
  http::request_parser<http::string_body> Parser;
  Parser.body_limit(MaxRequestBytes);
  error_code Code;
  co_await http::async_read(Stream, Buffer, Parser, orError(Code));
  if (Code)
    co_return false;
  std::string Target(Parser.get().target());
  json::value Body = json::parse(
      Parser.get().body().empty() ? "{}" : Parser.get().body(), Code);
  if (Code || !Body.is_object())
    co_return false;
  bool IsControl = Target == "/switches" || Target == "/counts";
  if (!IsControl) {
    ++Calls;
    if (Switches.SlowMs > 0)
      co_await sleepFor(milliseconds(Switches.SlowMs));
    if (Switches.Down)
      co_return false;
  }
  if (Target == "/v3/watch") {
    co_await serveWatch(Stream, Body.get_object());
    co_return false;
  }
  http_response Response = makeResponse(
      http::status::ok, json::serialize(answer(Target, Body.get_object())));
  if (Target == "/v3/kv/txn" && Switches.LoseNext > 0) {
    --Switches.LoseNext;
    co_return false;
  }
  Response.keep_alive(true);
  Response.prepare_payload();
  co_await http::async_write(Stream, Response, orError(Code));
  co_return !Code;
}

json::object store_stand_in::answer(std::string_view Target,
                                    const json::object &Body) {
  json::object Out;
  if (Target == "/switches") {
    applySwitches(Body);
  } else if (Target == "/counts") {
    Out["calls"] = Calls;
    Out["commits"] = Commits;
    Out["open_watches"] = OpenWatches;
  } else if (Target == "/v3/kv/range") {
    range_answer Range =
        Data.range(keyField(Body, "key"), keyField(Body, "range_end"),
                   numberField(Body, "limit"));
    json::array Entries;
    for (const store_entry &Entry : Range.Entries)
      Entries.push_back(entryToJson(Entry));
    Out["header"] = header(Range.Revision);
    Out["count"] = std::to_string(Entries.size());
    Out["kvs"] = std::move(Entries);
  } else if (Target == "/v3/kv/txn") {
    Out = answerTransaction(Body);
  } else if (Target == "/v3/lease/grant") {
    lease_id Lease =
        Data.grant(seconds(numberField(Body, "TTL")), currentTime());
    Out["ID"] = std::to_string(Lease.value());
  } else if (Target == "/v3/lease/keepalive") {
    json::object Inner;
    seconds Left = Data.keep(lease_id(numberField(Body, "ID")), currentTime());
    Inner["TTL"] = std::to_string(Left.count());
    Out["result"] = std::move(Inner);
  } else if (Target == "/v3/lease/revoke") {
    Data.revoke(lease_id(numberField(Body, "ID")));
  }
  return Out;
}

json::object store_stand_in::answerTransaction(const json::object &Body) {
  ++Commits;
  store_transaction Transaction;
  if (const json::value *Compare = Body.if_contains("compare"))
    for (const json::value &Item : Compare->as_array())
      Transaction.Conditions.push_back(conditionFromJson(Item.as_object()));
  if (const json::value *Success = Body.if_contains("success"))
    for (const json::value &Item : Success->as_array())
      if (std::optional<store_put> Put = putFromJson(Item.as_object()))
        Transaction.Puts.push_back(std::move(*Put));
  transaction_answer Done = Data.commit(Transaction);
  json::object Out;
  Out["header"] = header(Done.Revision);
  Out["succeeded"] = Done.Succeeded;
  return Out;
}

void store_stand_in::applySwitches(const json::object &Body) {
  if (const json::value *Down = Body.if_contains("down"))
    Switches.Down = Down->is_bool() && Down->get_bool();
  if (Body.contains("slow_ms"))
    Switches.SlowMs = static_cast<std::int64_t>(numberField(Body, "slow_ms"));
  if (Body.contains("lose_next"))
    Switches.LoseNext =
        static_cast<std::int64_t>(numberField(Body, "lose_next"));
  if (Body.contains("lapse_leases"))
    Data.lapseAll();
}

awaitable<void> store_stand_in::serveWatch(beast::tcp_stream &Stream,
                                           json::object Body) {
  const json::value *Create = Body.if_contains("create_request");
  if (!Create || !Create->is_object())
    co_return;
  std::string Key = keyField(Create->get_object(), "key");
  std::string End = keyField(Create->get_object(), "range_end");
  store_revision From(numberField(Create->get_object(), "start_revision"));
  if (From == store_revision())
    From = Data.revision().next();
  http::response<http::empty_body> Response(http::status::ok, 11);
  Response.chunked(true);
  http::response_serializer<http::empty_body> Serializer(Response);
  error_code Code;
  co_await http::async_write_header(Stream, Serializer, orError(Code));
  ++OpenWatches;
  while (!Code && !Switches.Down) {
    std::vector<memory_store::change> Changes =
        Data.changesSince(Key, End, From);
    if (Changes.empty()) {
      co_await sleepFor(WatchPollInterval);
      if (!Stream.socket().is_open())
        break;
      continue;
    }
    json::array Events;
    for (const memory_store::change &Change : Changes) {
      json::object Event;
      Event["type"] = Change.Event.Deleted ? "DELETE" : "PUT";
      Event["kv"] = entryToJson(Change.Event.Entry);
      Events.push_back(std::move(Event));
    }
    From = Changes.back().Revision.next();
    json::object Result;
    Result["header"] = header(Changes.back().Revision);
    Result["events"] = std::move(Events);
    json::object Line;
    Line["result"] = std::move(Result);
    std::string Text = json::serialize(Line) + "\n";
    co_await asio::async_write(Stream, http::make_chunk(asio::buffer(Text)),
                               orError(Code));
  }
  --OpenWatches;
}

} // namespace chivebeam::stand_ins
