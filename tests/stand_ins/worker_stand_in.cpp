#include "stand_ins/worker_stand_in.h"

#include <fstream>

#include <boost/json.hpp>

#include "net/clock.h"
#include "store/gateway_json.h"

namespace chivebeam::stand_ins {

namespace json = boost::json;

namespace {

constexpr milliseconds HeartbeatInterval{500};
constexpr milliseconds AnnounceTimeout{1'000};
constexpr std::size_t MaxBodyBytes = 64 << 20;

} // namespace

worker_stand_in::worker_stand_in(asio::io_context &IoContext,
                                 worker_settings NewSettings)
    : Context(IoContext), Acceptor(IoContext), Settings(std::move(NewSettings)),
      StartedAt(currentTime()) {}

result<address> worker_stand_in::listen(const address &ListenAddress) {
  result<address> Opened = openAcceptor(Acceptor, ListenAddress);
  if (!Opened)
    return Opened;
  Bound = *Opened;
  asio::co_spawn(Context, acceptLoop(), asio::detached);
  if (Settings.Node.Port != 0)
    asio::co_spawn(Context, announceLoop(), asio::detached);
  return Opened;
}

awaitable<void> worker_stand_in::announceLoop() {
  while (!Leaving) {
    co_await announce();
    co_await sleepFor(HeartbeatInterval);
  }
}

awaitable<void> worker_stand_in::announce() {
  json::object Body;
  Body["service"] = Settings.Service;
  Body["version"] = Settings.Version;
  Body["address"] = Bound.text();
  Body["slots"] = Settings.Slots;
  Body["leaving"] = Leaving;
  http_request Request = makeRequest(http::verb::post, "/chivebeam/v1/announce",
                                     json::serialize(Body));
  co_await httpCall(Settings.Node, std::move(Request), AnnounceTimeout,
                    MaxBodyBytes);
}

awaitable<void> worker_stand_in::leave() {
  Leaving = true;
  co_await announce();
}

awaitable<void> worker_stand_in::acceptLoop() {
  while (Acceptor.is_open()) {
    error_code Code;
    tcp::socket Socket = co_await Acceptor.async_accept(orError(Code));
    if (!Code)
      asio::co_spawn(Context, serve(std::move(Socket)), asio::detached);
  }
}

awaitable<void> worker_stand_in::serve(tcp::socket Socket) {
  error_code Code;
  Socket.set_option(tcp::no_delay(true), Code);
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Buffer;
  while (!Code) {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    co_await http::async_read(Stream, Buffer, Parser, orError(Code));
    if (Code)
      break;
    http_response Response = co_await handle(Parser.get());
    Response.keep_alive(Parser.get().keep_alive());
    Response.prepare_payload();
    co_await http::async_write(Stream, Response, orError(Code));
    if (!Response.keep_alive())
      break;
  }
}

bool worker_stand_in::faultsApply(std::string_view Target) const {
  return Settings.FaultPath.empty() || Target.starts_with(Settings.FaultPath);
}

awaitable<http_response> worker_stand_in::handle(const http_request &Request) {
  std::string_view Target(Request.target().data(), Request.target().size());
  if (Target == "/switches") {
    applySwitches(Request.body());
    co_return makeResponse(http::status::ok, "{}");
  }
  if (Target == "/health") {
    bool Healthy = Settings.AlwaysHealthy || Settings.FailPercent < 50;
    co_return makeResponse(
        Healthy ? http::status::ok : http::status::service_unavailable, "{}");
  }
  logExecution(Request);
  ++Calls;
  bool Faulty = faultsApply(Target);
  std::int64_t Millis = Settings.ServiceMs * (Faulty ? Settings.SlowFactor : 1);
  if (currentTime() < StartedAt + milliseconds(Settings.ColdStartMs))
    Millis *= 5;
  co_await sleepFor(milliseconds(Millis));
  bool Fails = Faulty && Failed * 100 < Calls * static_cast<std::uint64_t>(
                                                    Settings.FailPercent);
  Failed += Fails ? 1 : 0;
  http_response Response = makeResponse(
      Fails ? http::status::internal_server_error : http::status::ok,
      Request.body());
  Response.set(http::field::content_type, "application/octet-stream");
  Response.set("Stand-In-Version", Settings.Version);
  co_return Response;
}

void worker_stand_in::logExecution(const http_request &Request) const {
  if (Settings.ExecutionLog.empty())
    return;
  std::ofstream Log(Settings.ExecutionLog, std::ios::app);
  Log << Request.method_string() << ' ' << Request.target() << ' '
      << Request["Idempotency-Key"] << ' ' << Request["X-Request-Id"] << '\n';
}

void worker_stand_in::applySwitches(const std::string &Body) {
  error_code Code;
  json::value Value = json::parse(Body, Code);
  if (Code || !Value.is_object())
    return;
  const json::object &Fields = Value.get_object();
  auto Change = [&](std::string_view Key, std::int64_t &Field) {
    if (Fields.contains(Key))
      Field = static_cast<std::int64_t>(numberField(Fields, Key));
  };
  Change("service_ms", Settings.ServiceMs);
  Change("fail_percent", Settings.FailPercent);
  Change("slow_factor", Settings.SlowFactor);
  if (const json::value *Path = Fields.if_contains("fault_path"))
    Settings.FaultPath =
        Path->is_string() ? std::string(Path->get_string()) : "";
}

} // namespace chivebeam::stand_ins
