#include "mesh_fixture.h"

#include <set>

#include <boost/test/unit_test.hpp>

#include "platform/http_protocol.h"
#include "platform/kv_store.h"
#include "platform/operator_json_format.h"

namespace chivebeam::tests {

namespace json = boost::json;

namespace {

constexpr seconds TestTimeout{60};
constexpr seconds ConditionLimit{20};
constexpr milliseconds RestartTime{500};
const address AnyPort{"127.0.0.1", 0};

mesh_dependencies makeDependencies() {
  mesh_dependencies Dependencies;
  Dependencies.Calls = std::make_unique<platform::http_call_protocol>();
  Dependencies.Workers = std::make_unique<platform::http_worker_protocol>();
  Dependencies.DocumentFormat =
      std::make_unique<platform::operator_json_format>();
  Dependencies.OpenStore = [](const address &Server) {
    return std::make_unique<platform::kv_store>(Server);
  };
  Dependencies.ReadSettings = []() -> checked<mesh_settings> {
    return tl::unexpected(error_list{error{}});
  };
  Dependencies.SettingsMayHaveChanged = [] { return false; };
  return Dependencies;
}

json::object route(std::string Name, std::string Prefix, std::string Service,
                   std::string Kind, double TimeoutS) {
  return {{"name", Name},         {"prefix", Prefix},      {"routeType", Kind},
          {"timeoutS", TimeoutS}, {"targetLatencyS", 0.2}, {"priority", 1},
          {"service", Service},   {"maxAttempts", 3}};
}

/// Objects that must outlive the pending work of a stopped context. They are
/// kept until the process ends.
std::vector<std::shared_ptr<void>> &keptObjects() {
  static auto *Ended = new std::vector<std::shared_ptr<void>>;
  return *Ended;
}

template <typename Value> void keepForever(Value Item) {
  keptObjects().push_back(std::make_shared<Value>(std::move(Item)));
}

} // namespace

mesh_fixture::mesh_fixture()
    : Context(std::make_unique<asio::io_context>(1)),
      Store(std::make_unique<stand_ins::platform_store>(*Context)) {}

mesh_fixture::mesh_fixture(const std::vector<std::string> &Services)
    : mesh_fixture() {
  std::set<std::string> Names(Services.begin(), Services.end());
  configure(1, {Names.begin(), Names.end()});
  for (const std::string &Service : Services)
    addNode(Service);
}

mesh_fixture::~mesh_fixture() {
  Context->stop();
  keepForever(std::move(Context));
  keepForever(std::move(Store));
  keepForever(std::move(Workers));
  keepForever(std::move(Nodes));
}

unsigned mesh_fixture::crashes() const {
  unsigned Sum = 0;
  for (const auto &Worker : Workers)
    Sum += Worker->Crashes;
  return Sum;
}

long mesh_fixture::runsOf(const std::string &Target) const {
  long Sum = 0;
  for (const auto &Worker : Workers)
    for (const auto &Request : Worker->Received)
      Sum += Request.target() == Target ? 1 : 0;
  return Sum;
}

awaitable<void> mesh_fixture::crashServer(std::size_t Index) {
  mesh_worker &Worker = *Workers[Index];
  Worker.Server->crash();
  ++Worker.Crashes;
  co_await sleepFor(RestartTime);
  ++Worker.StartedAtMs;
  Worker.Sequence = 0;
  Worker.Server->restart();
  co_await report(Index);
}

scripted_worker::script mesh_fixture::serverOf(std::size_t Index) {
  mesh_worker &Worker = *Workers[Index];
  return [this, Index, &Worker](tcp::socket &Socket) -> awaitable<void> {
    beast::flat_buffer Buffer;
    while (auto Request = co_await readRequest(Socket, Buffer)) {
      Worker.Received.push_back(*Request);
      ++Worker.Running;
      Worker.MaxRunning = std::max(Worker.MaxRunning, Worker.Running);
      if (Worker.Script.Delay.count() > 0)
        co_await sleepFor(Worker.Script.Delay);
      if (Worker.Script.MayAnswer)
        co_await until(Worker.Script.MayAnswer);
      if (Worker.Script.Crashes && Worker.Script.Crashes(*Request)) {
        co_await sleepFor(Worker.Script.CrashDelay);
        // It may have ended under another request meanwhile.
        if (Socket.is_open() && Worker.Script.CrashBytes)
          co_await write(Socket, Worker.Script.CrashBytes(*Request));
        if (Socket.is_open())
          asio::co_spawn(*Context, crashServer(Index), asio::detached);
      }
      --Worker.Running;
      if (!Socket.is_open())
        co_return;
      if (Worker.Script.Answer) {
        co_await Worker.Script.Answer(Socket, *Request);
        continue;
      }
      text_answer Answer(http::status::ok, 11);
      Answer.set("Request-Id", (*Request)["Request-Id"]);
      Answer.set("Response-Signature", "signed");
      Answer.body() = Worker.Id + ":" + Request->body();
      Answer.prepare_payload();
      error_code Code;
      co_await http::async_write(Socket, Answer, orError(Code));
    }
  };
}

std::size_t mesh_fixture::addNode(std::string Service, std::string Domain,
                                  unsigned Slots) {
  std::size_t Index = Nodes.size();
  Workers.push_back(std::make_unique<mesh_worker>());
  mesh_worker &Worker = *Workers.back();
  Worker.Id = "w-" + std::to_string(Index);
  Worker.Service = Service;
  Worker.Slots = Slots;
  Worker.Server = std::make_unique<scripted_worker>(*Context, serverOf(Index));
  mesh_settings Settings;
  Settings.Node = node_id("node-" + std::to_string(Index));
  Settings.Domain = failure_domain(Domain);
  Settings.Domains = Domains;
  Settings.Service = service_name(Service);
  Settings.Callers = AnyPort;
  Settings.Readiness = AnyPort;
  Settings.WorkerReports = AnyPort;
  Settings.Peers = AnyPort;
  Settings.Worker = Worker.Server->bound();
  Settings.Store = Store->listen();
  Settings.LinkBytesPerSecond = LinkBytesPerSecond;
  Settings.MemoryBytes = MemoryBytes;
  Settings.MaxDescriptors = MaxDescriptors;
  Settings.Hedging = Hedging;
  Settings.Grace = Grace;
  Settings.RetryBudget.Slack = 100;
  Stopped.push_back(false);
  Nodes.emplace_back();
  startNode(Index, std::move(Settings));
  return Index;
}

void mesh_fixture::startNode(std::size_t Index, mesh_settings Settings) {
  if (Nodes[Index])
    keepForever(std::move(Nodes[Index]));
  Nodes[Index] = std::make_unique<mesh_node>(*Context, std::move(Settings),
                                             makeDependencies());
  result<void> Started =
      Nodes[Index]->start([this, Index] { Stopped[Index] = true; });
  BOOST_REQUIRE(Started);
}

awaitable<void> mesh_fixture::replaceNode(std::size_t Index) {
  mesh_settings Settings = Nodes[Index]->settings();
  Nodes[Index]->beginStop();
  co_await until([&] { return stopped(Index); });
  for (address *Where : {&Settings.Callers, &Settings.Readiness,
                         &Settings.WorkerReports, &Settings.Peers})
    Where->Port = 0;
  startNode(Index, std::move(Settings));
  co_await until([&] { return Nodes[Index]->isReady(); });
}

void mesh_fixture::configure(std::uint64_t Number,
                             const std::vector<std::string> &Services,
                             double TimeoutS) {
  json::array Names;
  json::array Routes;
  for (const std::string &Service : Services) {
    json::object Entry{{"name", Service}, {"maxConnections", 110}};
    if (ColdPerS > 0) {
      Entry["coldPerS"] = ColdPerS;
      Entry["coldStartS"] = 3;
    }
    Names.push_back(std::move(Entry));
    Routes.push_back(route("read-" + Service, "/" + Service + "/", Service,
                           "safe", TimeoutS));
    Routes.push_back(route("pay-" + Service, "/pay/" + Service + "/", Service,
                           "unsafe", TimeoutS));
  }
  json::object Config{
      {"version", Number},
      {"services", std::move(Names)},
      {"limits",
       {{"maxHeaderBytes", MaxHeaderBytes},
        {"maxBodyBytes", MaxBodyBytes},
        {"headerTimeoutS", 3},
        {"idleTimeoutS", IdleTimeoutS}}},
      {"virtualHosts",
       {json::object{{"host", "shop.example"}, {"paths", Routes}}}}};
  Store->put("op/config", json::serialize(Config));
}

std::vector<std::size_t>
mesh_fixture::watchersOf(const std::string &Domain) const {
  std::vector<std::size_t> Watchers;
  for (unsigned Slot = 0; Slot < watcher_election::SlotsPerDomain; ++Slot) {
    std::string Record = Store->value("chivebeam/watcher/" + Domain + "/" +
                                      std::to_string(Slot));
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
      if (Record.find("\"node\":\"node-" + std::to_string(Index) + "\"") !=
          std::string::npos)
        Watchers.push_back(Index);
  }
  return Watchers;
}

void mesh_fixture::orderMove(const std::string &Service) {
  json::object Order{
      {"service", Service}, {"targetVersion", "v2"}, {"durationS", 14}};
  Store->put("op/rollout/" + Service, json::serialize(Order));
}

awaitable<unsigned> mesh_fixture::report(std::size_t Index, std::string State) {
  mesh_worker &Worker = *Workers[Index];
  json::object Body{{"address", Worker.Server->bound().text()},
                    {"born", Worker.StartedAtMs},
                    {"info",
                     {{"service", Worker.Service},
                      {"version", Worker.Version},
                      {"zone", "zone"},
                      {"slots", Worker.Slots}}},
                    {"status",
                     {{"state", State},
                      {"sequence", ++Worker.Sequence},
                      {"coldRemainingS", Worker.ColdRemainingS}}}};
  result<http_response> Answer =
      co_await httpCall(Nodes[Index]->settings().WorkerReports,
                        makeRequest(http::verb::put, "/instances/" + Worker.Id,
                                    json::serialize(Body)),
                        seconds(5), 1 << 16);
  co_return Answer ? Answer->result_int() : 0;
}

awaitable<unsigned> mesh_fixture::leave(std::size_t Index) {
  json::object Body{{"born", Workers[Index]->StartedAtMs}};
  result<http_response> Answer = co_await httpCall(
      Nodes[Index]->settings().WorkerReports,
      makeRequest(http::verb::delete_, "/instances/" + Workers[Index]->Id,
                  json::serialize(Body)),
      seconds(5), 1 << 16);
  co_return Answer ? Answer->result_int() : 0;
}

awaitable<void> mesh_fixture::ready() {
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
    unsigned Status = co_await report(Index);
    BOOST_TEST(Status == 200u);
  }
  for (auto &Node : Nodes)
    co_await until([&] { return Node->isReady(); });
  for (auto &Node : Nodes)
    co_await until([&] { return Node->knownServers() == Nodes.size(); });
}

awaitable<std::optional<text_answer>> mesh_fixture::call(std::size_t Node,
                                                         std::string Request) {
  caller Caller(*Context);
  co_await Caller.connect(Nodes[Node]->settings().Callers);
  co_return co_await Caller.call(std::move(Request));
}

std::string mesh_fixture::get(std::string Path, std::string Id,
                              int DeadlineMs) {
  return "GET " + Path +
         " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + Id +
         "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) + "\r\n\r\n";
}

std::string mesh_fixture::post(std::string Path, std::string Id,
                               std::string Body, int DeadlineMs) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + Id +
         "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

void mesh_fixture::run(std::function<awaitable<void>()> Test) {
  bool Ended = false;
  asio::co_spawn(*Context, Test(), [&](std::exception_ptr Failure) {
    Ended = true;
    Context->stop();
    if (Failure)
      std::rethrow_exception(Failure);
  });
  Context->run_for(TestTimeout);
  BOOST_TEST(Ended, "the test did not end");
}

awaitable<void> mesh_fixture::until(std::function<bool()> Condition) {
  asio::steady_timer Limit(*Context, ConditionLimit);
  // The handler of a cancelled wait runs after this function has returned, so
  // it shares the flag.
  auto TimedOut = std::make_shared<bool>(false);
  Limit.async_wait([TimedOut](error_code Code) { *TimedOut = !Code; });
  while (!Condition() && !*TimedOut)
    co_await sleepFor(milliseconds(5));
  Limit.cancel();
  BOOST_TEST(!*TimedOut, "a condition never held");
}

} // namespace chivebeam::tests
