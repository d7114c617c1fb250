#include "stand_ins/platform_store.h"

#include "net/clock.h"
#include "store/base64.h"

namespace chivebeam::stand_ins {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxBody = 16 << 20;
constexpr milliseconds WatchPollInterval{5};

http_response reply(unsigned Status, json::object Body = {}) {
  return makeResponse(http::int_to_status(Status), json::serialize(Body));
}

/// Returns a percent-decoded query parameter, or an empty text.
std::string parameter(std::string_view Target, std::string_view Name) {
  std::size_t At = Target.find('?');
  while (At != std::string_view::npos) {
    std::string_view Rest = Target.substr(At + 1);
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    if (Pair.substr(0, Pair.find('=')) == Name) {
      std::string Text;
      std::string_view Raw = Pair.substr(Pair.find('=') + 1);
      for (std::size_t Index = 0; Index < Raw.size(); ++Index) {
        if (Raw[Index] != '%') {
          Text += Raw[Index];
          continue;
        }
        Text += static_cast<char>(
            std::stoi(std::string(Raw.substr(Index + 1, 2)), nullptr, 16));
        Index += 2;
      }
      return Text;
    }
    std::size_t Next = Rest.find('&');
    At = Next == std::string_view::npos ? Next : At + 1 + Next;
  }
  return {};
}

std::uint64_t numberOf(const json::object &Object, std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  return Found ? Found->to_number<std::uint64_t>() : 0;
}

} // namespace

platform_store::platform_store(asio::io_context &IoContext)
    : Context(IoContext) {}

address platform_store::listen() {
  entrance &Entrance = *Entrances.emplace_back(std::make_unique<entrance>());
  Entrance.Service = std::make_unique<http_service>(
      Context, MaxBody,
      [this, &Entrance](const http_request &Request, const address &)
          -> awaitable<http_response> { return handle(Request, Entrance); });
  Entrance.At = Entrance.Service->listen({"127.0.0.1", 0}).value();
  return Entrance.At;
}

void platform_store::setSilent(const address &At, bool IsSilent) {
  for (auto &Entrance : Entrances)
    if (Entrance->At == At)
      Entrance->Silent = IsSilent;
}

void platform_store::record(const std::string &Key, bool Removed) {
  change Change;
  Change.Key = Key;
  Change.Revision = Revision;
  Change.Removed = Removed;
  if (!Removed)
    Change.Item = Items[Key];
  History.push_back(std::move(Change));
}

void platform_store::store(const std::string &Key, std::string Value,
                           std::uint64_t Lease) {
  item &Item = Items[Key];
  Item.Value = std::move(Value);
  Item.Revision = Revision;
  Item.Created = Item.Created == 0 ? Revision : Item.Created;
  Item.Lease = Lease;
  record(Key, false);
}

void platform_store::put(const std::string &Key, std::string Value) {
  ++Revision;
  store(Key, std::move(Value), 0);
}

void platform_store::remove(const std::string &Key) {
  ++Revision;
  Items.erase(Key);
  record(Key, true);
}

std::string platform_store::value(const std::string &Key) const {
  auto Found = Items.find(Key);
  return Found == Items.end() ? std::string() : Found->second.Value;
}

void platform_store::endLease(std::uint64_t Id) {
  Leases.erase(Id);
  std::vector<std::string> Keys;
  for (const auto &[Key, Item] : Items)
    if (Item.Lease == Id)
      Keys.push_back(Key);
  for (const std::string &Key : Keys)
    remove(Key);
}

void platform_store::lapseLeases() {
  while (!Leases.empty())
    endLease(Leases.begin()->first);
}

void platform_store::saveCopy() {
  CopiedItems = Items;
  CopiedRevision = Revision;
}

void platform_store::restoreCopy() {
  Items = CopiedItems;
  // The keys of leases go with them.
  std::erase_if(Items, [](const auto &Item) { return Item.second.Lease != 0; });
  Leases.clear();
  Revision = CopiedRevision;
  std::erase_if(History, [this](const change &Change) {
    return Change.Revision > Revision;
  });
  ++Era;
}

void platform_store::expireLeases() {
  instant Now = currentTime();
  std::vector<std::uint64_t> Ended;
  for (const auto &[Id, Lease] : Leases)
    if (Now >= Lease.Ends)
      Ended.push_back(Id);
  for (std::uint64_t Id : Ended)
    endLease(Id);
}

namespace {

json::object itemJson(const std::string &Key, const std::string &Value,
                      std::uint64_t Revision, std::uint64_t Created,
                      std::uint64_t Lease) {
  return {{"key", Key},
          {"value", Value.starts_with(platform_store::RawPrefix)
                        ? Value
                        : encodeBase64(Value)},
          {"revision", Revision},
          {"created", Created},
          {"lease", Lease}};
}

} // namespace

http_response platform_store::key(const std::string &Key) const {
  auto Found = Items.find(Key);
  if (Found == Items.end())
    return reply(404);
  const item &Item = Found->second;
  json::object Body =
      itemJson(Key, Item.Value, Item.Revision, Item.Created, Item.Lease);
  Body["asOf"] = Revision;
  return reply(200, std::move(Body));
}

http_response platform_store::range(const std::string &Prefix,
                                    const std::string &After) const {
  json::array List;
  bool HasMore = false;
  for (const auto &[Key, Item] : Items) {
    if (!Key.starts_with(Prefix) || Key <= After)
      continue;
    HasMore = List.size() == PageItems;
    if (HasMore)
      break;
    List.push_back(
        itemJson(Key, Item.Value, Item.Revision, Item.Created, Item.Lease));
  }
  return reply(
      200,
      {{"items", std::move(List)}, {"hasMore", HasMore}, {"asOf", Revision}});
}

awaitable<http_response> platform_store::watch(std::string Prefix,
                                               std::uint64_t After,
                                               milliseconds Wait) {
  if (std::exchange(Switches.Compacted, false) || After > Revision)
    co_return reply(410);
  instant Ends = currentTime() + Wait;
  std::uint64_t StartedIn = Era;
  std::uint64_t Generation = WatchGeneration;
  for (;;) {
    while (Generation != WatchGeneration)
      co_await sleepFor(Wait);
    expireLeases();
    if (Era != StartedIn)
      co_return reply(503);
    json::array Events;
    for (const change &Change : History) {
      if (Change.Revision <= After || !Change.Key.starts_with(Prefix))
        continue;
      json::object Event{{"key", Change.Key},
                         {"revision", Change.Revision},
                         {"removed", true}};
      if (!Change.Removed)
        Event = itemJson(Change.Key, Change.Item.Value, Change.Revision,
                         Change.Item.Created, Change.Item.Lease);
      Events.push_back(std::move(Event));
    }
    if (!Events.empty() || currentTime() >= Ends || Switches.Down) {
      json::object Body{{"events", std::move(Events)}, {"asOf", Revision}};
      co_return reply(200, std::move(Body));
    }
    co_await sleepFor(WatchPollInterval);
  }
}

http_response platform_store::transact(const json::object &Body) {
  for (const json::value &Row : Body.at("expected").as_array()) {
    std::string Key(Row.at("key").as_string());
    auto Found = Items.find(Key);
    std::uint64_t Present = Found == Items.end() ? 0 : Found->second.Revision;
    if (Present != numberOf(Row.as_object(), "revision"))
      return reply(412, {{"items", json::array()}});
  }
  const json::array &Puts = Body.at("puts").as_array();
  for (const json::value &Put : Puts) {
    std::uint64_t Lease = numberOf(Put.as_object(), "lease");
    if (Lease != 0 && !Leases.contains(Lease))
      return reply(404);
  }
  ++Revision;
  for (const json::value &Put : Puts)
    store(std::string(Put.at("key").as_string()),
          decodeBase64(std::string(Put.at("value").as_string())).value_or(""),
          numberOf(Put.as_object(), "lease"));
  return reply(200, {{"revision", Revision}});
}

http_response platform_store::grant(const json::object &Body) {
  lease Lease;
  Lease.TimeToLive = seconds(static_cast<std::int64_t>(numberOf(Body, "ttlS")));
  Lease.Ends = currentTime() + Lease.TimeToLive;
  Leases[++NextLease] = Lease;
  return reply(200, {{"lease", NextLease}, {"ttlS", numberOf(Body, "ttlS")}});
}

http_response platform_store::keep(std::uint64_t Id) {
  auto Found = Leases.find(Id);
  if (Found == Leases.end())
    return reply(404);
  Found->second.Ends = currentTime() + Found->second.TimeToLive;
  return reply(200, {{"ttlS", 1}});
}

awaitable<http_response> platform_store::handle(const http_request &Request,
                                                entrance &At) {
  http_response Response = co_await answer(Request);
  while (At.Silent)
    co_await sleepFor(WatchPollInterval);
  co_return Response;
}

awaitable<http_response> platform_store::answer(const http_request &Request) {
  ++Calls;
  std::string Target(Request.target());
  std::string Path = Target.substr(0, Target.find('?'));
  std::string LastSegment = Path.substr(Path.rfind('/') + 1);
  if (Switches.Delay.count() > 0)
    co_await sleepFor(Switches.Delay);
  if (Switches.Down) {
    http_response Unavailable = reply(503);
    Unavailable.set("Store-Era", std::to_string(Era));
    co_return Unavailable;
  }
  if (Switches.TooManyRequests)
    co_return reply(429);
  expireLeases();
  boost::system::error_code Code;
  json::value Body = json::parse(Request.body(), Code);
  http_response Response = reply(404);
  if (Path == "/kv-key")
    Response = key(parameter(Target, "key"));
  else if (Path == "/kv-range") {
    StaleReads += parameter(Target, "serializable") == "1" ? 1 : 0;
    Response = range(parameter(Target, "prefix"), parameter(Target, "after"));
  } else if (Path == "/kv-watch")
    Response = co_await watch(
        parameter(Target, "prefix"), std::stoull(parameter(Target, "after")),
        milliseconds(std::stoll(parameter(Target, "waitMs"))));
  else if (Path == "/kv-txn" && Body.is_object())
    Response = transact(Body.get_object());
  else if (Path == "/kv-lease" && Body.is_object())
    Response = grant(Body.get_object());
  else if (Path.starts_with("/kv-keep/"))
    Response = keep(std::stoull(LastSegment));
  else if (Path.starts_with("/kv-lease-end/")) {
    endLease(std::stoull(LastSegment));
    Response = reply(200);
  }
  // Delays the answer past the client's timeout, so that it counts as lost.
  if (Switches.LoseWrites && Path == "/kv-txn")
    co_await sleepFor(seconds(3));
  Response.set("Store-Era", std::to_string(Era));
  co_return Response;
}

} // namespace chivebeam::stand_ins
