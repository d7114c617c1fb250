#include "call_fixture.h"

#include <boost/test/unit_test.hpp>

#include "config/compiler.h"
#include "net/clock.h"
#include "net/http_service.h"

namespace chivebeam::tests {

namespace {

constexpr std::chrono::seconds TestTimeout{60};
const address AnyPort{"127.0.0.1", 0};

const std::string Register = R"({
  "failure_domains": [{"name": "a", "region": "r"}],
  "services": [
    {"name": "kassa", "class": "payment", "workers": 3, "slots": 6,
     "version": "1.0", "versions": ["1.0"]},
    {"name": "desk", "class": "status", "workers": 3, "slots": 6,
     "version": "1.0", "versions": ["1.0"]}]})";
const std::string Rules = R"({"routes": [
  {"name": "pay", "path_prefix": "/kassa/", "service": "kassa",
   "deadline_ms": 20000, "retry_budget_percent": 0},
  {"name": "pay-soon", "path_prefix": "/kassa/soon/", "service": "kassa",
   "deadline_ms": 600, "retry_budget_percent": 0},
  {"name": "read", "path_prefix": "/desk/", "service": "desk",
   "idempotent": true, "deadline_ms": 20000}]})";

} // namespace

call_fixture::call_fixture() {
  Settings.Node = node_id("entry");
  Settings.Domain = failure_domain("a");
  Settings.Traffic = AnyPort;
  Settings.Relay = AnyPort;
  Settings.Limits.DrainNotice = milliseconds(0);
  config_source Source{config_number(1), publish_id("p"), instant(), Register,
                       Rules};
  Config = compile(Source).value();
}

std::size_t call_fixture::addHome(scripted_worker::script Script,
                                  unsigned Slots, std::string Service) {
  std::size_t Index = Homes.size();
  Workers.push_back(
      std::make_unique<scripted_worker>(Context, std::move(Script)));
  node_settings &Own = HomeSettings.emplace_back(Settings);
  Own.Node = node_id("home-" + std::to_string(Index));
  Homes.push_back(
      std::make_unique<data_plane>(Context, Own, Views, [this](data_event E) {
        if (auto *Outcome = std::get_if<call_outcome>(&E))
          Outcomes.push_back(*Outcome);
      }));
  address Relay = Homes.back()->openRelay().value();
  Homes.back()->handle(
      worker_binding{Workers.back()->bound(), Slots, version_name("1.0")});
  member_record Member;
  Member.Node = Own.Node;
  Member.Domain = Own.Domain;
  Member.Peer = Relay;
  Member.RelayPort = Relay.Port;
  Member.Worker = {service_name(std::move(Service)), version_name("1.0"), Slots,
                   worker_state::ready, instant()};
  Members.push_back(Member);
  setView();
  return Index;
}

void call_fixture::setView() {
  Views.store(makeFleetView(Config, Members, {}, Settings.Domain, false));
}

void call_fixture::open() {
  Entry = std::make_unique<data_plane>(
      Context, Settings, Views, [this](data_event Event) {
        if (auto *Opened = std::get_if<traffic_opened>(&Event))
          Traffic = Opened->Bound;
        Drained = Drained || std::holds_alternative<data_drained>(Event);
      });
  Entry->handle(open_traffic{});
}

void call_fixture::run(std::function<awaitable<void>()> Test) {
  bool Ended = false;
  asio::co_spawn(Context, Test(), [&](std::exception_ptr Failure) {
    Ended = true;
    Context.stop();
    if (Failure)
      std::rethrow_exception(Failure);
  });
  Context.run_for(TestTimeout);
  BOOST_TEST(Ended, "the test did not end");
}

awaitable<void> call_fixture::until(std::function<bool()> Condition) {
  while (!Condition())
    co_await asio::post(Context, asio::use_awaitable);
}

} // namespace chivebeam::tests
