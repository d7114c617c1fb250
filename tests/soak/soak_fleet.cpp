#include "soak_fleet.h"

#include <csignal>
#include <fstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>

#include "net/clock.h"
#include "net/http_client.h"

namespace chivebeam::tests {

namespace json = boost::json;

namespace {

constexpr std::uint16_t CallersPort = 8629;
constexpr std::uint16_t ReadyPort = 8625;
constexpr std::uint16_t ReportsPort = 8620;
constexpr std::uint16_t PeerPort = 7600;
constexpr seconds Grace{6};
constexpr seconds StartTimeout{20};
/// Longer than any event or answer takes.
constexpr seconds EndTimeout{20};
constexpr milliseconds CheckInterval{20};
constexpr milliseconds RestartDelay{300};
constexpr milliseconds OutageTime{1'500};
constexpr milliseconds FreezeTime{700};
constexpr milliseconds SpoilTime{1'500};
constexpr milliseconds EventPause{400};
constexpr milliseconds MaxThinkTime{30};
constexpr int DeadlineMs = 2'000;
constexpr milliseconds AnswerTimeout{DeadlineMs + 1'500};
constexpr std::size_t UploadBytes = 8 << 20; ///< more than sockets hold
constexpr std::uint64_t MaxBodyBytes = 16 << 20;
/// Of 50 requests, one is an upload and 29 are other payments.
constexpr unsigned RequestKinds = 50;
constexpr unsigned PaymentKinds = 30;
/// Kinds of planned events come first.
constexpr unsigned PlannedKinds = 4;
/// Those from the last named one on are faulty answers.
constexpr unsigned AllKinds = 12;

/// Returns an address of this soak alone, so that the ports are free.
std::string ownIp(unsigned Node) {
  static unsigned Soaks = 0;
  if (Node == 0)
    ++Soaks;
  auto Number = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(20 + Number % 200) + "." +
         std::to_string(1 + (Number / 200 + Soaks) % 250) + "." +
         std::to_string(1 + Node);
}

json::object routeTo(std::string Name, std::string Prefix, std::string Type) {
  return {{"name", Name},  {"prefix", Prefix},  {"routeType", Type},
          {"timeoutS", 2}, {"service", "shop"}, {"maxAttempts", 3}};
}

} // namespace

soak_fleet::soak_fleet(const soak_plan &SoakPlan)
    : Plan(SoakPlan), Random(Plan.Seed), Store(Context),
      StoreAddress(Store.listen()) {
  char Pattern[] = "/tmp/chivebeam-soak-XXXXXX";
  Folder = ::mkdtemp(Pattern);
  configure();
  for (unsigned Index = 0; Index < Plan.Nodes; ++Index) {
    auto Node = std::make_unique<node>();
    Node->Name = "node-" + std::to_string(Index);
    Node->Ip = ownIp(Index);
    Node->Server = std::make_unique<soak_server>(
        Context, Record, address{Node->Ip, ReportsPort},
        "s" + std::to_string(Index), Plan.Seed * 1'000 + Index);
    Nodes.push_back(std::move(Node));
    startProcess(*Nodes.back());
  }
}

void soak_fleet::endProcesses() {
  for (auto &Node : Nodes)
    if (Node->Process != 0) {
      ::kill(Node->Process, SIGKILL);
      ::waitpid(Node->Process, nullptr, 0);
    }
}

void soak_fleet::configure() {
  // The second route comes and goes with the configurations.
  json::array Routes{routeTo("read", "/read/", "safe"),
                     routeTo("pay", "/pay/", "unsafe")};
  if (++ConfigVersion % 2 == 0)
    Routes.push_back(routeTo("more", "/more/", "safe"));
  json::object Config{
      {"version", ConfigVersion},
      {"services", {json::object{{"name", "shop"}, {"maxConnections", 110}}}},
      {"limits",
       {{"maxHeaderBytes", 16'384},
        {"maxBodyBytes", MaxBodyBytes},
        {"headerTimeoutS", 3},
        {"idleTimeoutS", 15}}},
      {"virtualHosts",
       {json::object{{"host", "shop.example"}, {"paths", Routes}}}}};
  Store.put("op/config", json::serialize(Config));
}

void soak_fleet::writeSettings(const node &Node, bool FirstStart) const {
  auto At = [&](std::uint16_t Port) { return address{Node.Ip, Port}.text(); };
  json::object Settings{
      {"nodeName", Node.Name},
      {"ip", Node.Ip},
      {"zone", "zone-a"},
      {"listen",
       {{"outbound", At(CallersPort)},
        {"ready", At(ReadyPort)},
        {"control", At(ReportsPort)}}},
      {"internalPortRange", {PeerPort, PeerPort}},
      {"firstStart", FirstStart},
      {"limits", {{"memoryMb", 260}, {"maxFileDescriptors", 4'100}}},
      {"heartbeatIntervalS", 0.5},
      {"bounds",
       {{"gracePeriodS", Grace.count()},
        {"retryBudgetRatio", 0.2},
        {"budgetWindowS", 10},
        {"retryBudgetSlack", 58}}},
      {"applicationAddress", Node.Server->bound().text()},
      {"service", "shop"},
      {"platform", {{"address", StoreAddress.text()}}}};
  std::ofstream(Folder + "/" + Node.Name + ".json")
      << json::serialize(Settings);
}

void soak_fleet::startProcess(node &Node) {
  writeSettings(Node, Node.Starts++ == 0);
  Node.MayEnd = false;
  std::string Settings = Folder + "/" + Node.Name + ".json";
  std::string Log = Folder + "/" + Node.Name + ".log";
  pid_t Parent = ::getpid();
  Node.Process = ::fork();
  if (Node.Process != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != Parent)
    ::_exit(1);
  int File = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(File, 1);
  ::dup2(File, 2);
  // The sockets of the soak are not those of the process.
  ::close_range(3, ~0U, 0);
  ::execl(CHIVEBEAM_PROGRAM, "chivebeam", "sidecar", "--settings",
          Settings.c_str(), nullptr);
  ::_exit(127);
}

bool soak_fleet::hasEnded(node &Node) {
  int Status = 0;
  if (Node.Process != 0 && ::waitpid(Node.Process, &Status, WNOHANG) == 0)
    return false;
  if (Node.Process != 0 && !Node.MayEnd)
    Record.processEnded(Node.Name, std::to_string(Status));
  Node.Process = 0;
  return true;
}

awaitable<void> soak_fleet::ready() {
  instant GiveUpAt = currentTime() + StartTimeout;
  for (auto &Node : Nodes)
    for (bool IsReady = false; !IsReady && currentTime() < GiveUpAt;) {
      address At{Node->Ip, ReadyPort};
      http_request Request = makeRequest(http::verb::get, "/readiness", "");
      result<http_response> Answer =
          co_await httpCall(At, std::move(Request), seconds(1), 1 << 16);
      IsReady = Answer && Answer->result_int() == 200;
      co_await sleepFor(CheckInterval);
    }
  // All nodes know all servers meanwhile.
  co_await sleepFor(seconds(2));
}

awaitable<void> soak_fleet::client(node &Node, unsigned Number) {
  ++OpenClients;
  const address Callers{Node.Ip, CallersPort};
  std::shared_ptr<caller> Caller;
  for (unsigned Sent = 0; !Ending; ++Sent) {
    co_await sleepFor(
        milliseconds(1 + Random.below(std::uint64_t(MaxThinkTime.count()))));
    if (!Caller) {
      Caller = std::make_shared<caller>(Context);
      try {
        co_await Caller->connect(Callers);
      } catch (const boost::system::system_error &) {
        // The process is being replaced.
        Caller.reset();
      }
    }
    if (!Caller) {
      co_await sleepFor(CheckInterval);
      continue;
    }
    std::string Id =
        Node.Name + "-" + std::to_string(Number) + "-" + std::to_string(Sent);
    unsigned Kind = static_cast<unsigned>(Random.below(RequestKinds));
    bool IsPayment = Kind < PaymentKinds;
    std::string Body(Kind == 0 ? UploadBytes : 4, 'b');
    std::string Request = IsPayment ? "POST /pay/" : "GET /read/";
    Request.append(Id)
        .append(" HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ")
        .append(Id)
        .append("\r\nDeadline-Ms: ")
        .append(std::to_string(DeadlineMs));
    if (IsPayment)
      Request.append("\r\nContent-Length: ")
          .append(std::to_string(Body.size()));
    Request.append("\r\n\r\n");
    if (IsPayment)
      Request.append(Body);
    request_record &Entry = Record.of(Id);
    Entry.IsPayment = IsPayment;
    Entry.Entry = Node.Name;
    Entry.SentAt = currentTime();
    asio::steady_timer Limit(Context, AnswerTimeout);
    Limit.async_wait([Caller, &Entry](error_code Code) {
      if (Code)
        return;
      Entry.TimedOut = true;
      Caller->close();
    });
    std::optional<text_answer> Answer =
        co_await Caller->call(std::move(Request));
    Limit.cancel();
    Entry.EndedAt = currentTime();
    Entry.Status = Answer ? Answer->result_int() : 0;
    Entry.IsBodyWhole = Answer && Answer->body() == "answer to " + Id;
    if (!Answer || !Answer->keep_alive())
      Caller.reset();
  }
  --OpenClients;
}

awaitable<void> soak_fleet::watchProcesses() {
  for (;;) {
    for (auto &Node : Nodes)
      if (!Node->IsBusy && hasEnded(*Node))
        startProcess(*Node);
    co_await sleepFor(CheckInterval);
  }
}

awaitable<void> soak_fleet::stopProcess(node &Node) {
  Node.MayEnd = true;
  ::kill(Node.Process, SIGTERM);
  for (instant KillAt = currentTime() + Grace; !hasEnded(Node);) {
    if (currentTime() >= KillAt)
      ::kill(Node.Process, SIGKILL);
    co_await sleepFor(CheckInterval);
  }
  co_await sleepFor(RestartDelay);
  startProcess(Node);
}

awaitable<void> soak_fleet::killProcess(node &Node) {
  Record.disturbed(currentTime(), currentTime() + RestartDelay);
  Node.MayEnd = true;
  ::kill(Node.Process, SIGKILL);
  while (!hasEnded(Node))
    co_await sleepFor(CheckInterval);
  co_await sleepFor(RestartDelay);
  startProcess(Node);
}

awaitable<void> soak_fleet::freezeProcess(node &Node) {
  Record.disturbed(currentTime(), currentTime() + FreezeTime);
  ::kill(Node.Process, SIGSTOP);
  co_await sleepFor(FreezeTime);
  ::kill(Node.Process, SIGCONT);
}

awaitable<void> soak_fleet::stopStore() {
  Record.disturbed(currentTime(), currentTime() + OutageTime);
  Store.Switches.Down = true;
  co_await sleepFor(OutageTime);
  Store.Switches.Down = false;
}

awaitable<void> soak_fleet::runEvent(unsigned Kind, node &Node) {
  auto Fault = static_cast<server_fault>(1 + Random.below(ServerFaults - 1));
  if (Kind == 0)
    co_await stopProcess(Node);
  else if (Kind == 1)
    ::kill(Node.Process, SIGHUP);
  else if (Kind == 2)
    configure();
  else if (Kind == 3)
    co_await Node.Server->replace();
  else if (Kind == 4)
    co_await killProcess(Node);
  else if (Kind == 5)
    co_await freezeProcess(Node);
  else if (Kind == 6)
    co_await stopStore();
  else if (Kind == 7)
    co_await Node.Server->crash();
  else
    co_await Node.Server->spoil(Fault, SpoilTime);
}

awaitable<void> soak_fleet::events() {
  ++OpenEvents;
  while (!Ending) {
    co_await sleepFor(
        milliseconds(Random.below(std::uint64_t(EventPause.count()))));
    node &Node = *Nodes[Random.below(Nodes.size())];
    if (Node.IsBusy || Node.Process == 0)
      continue;
    Node.IsBusy = true;
    auto Kind = static_cast<unsigned>(
        Random.below(Plan.OnlyPlanned ? PlannedKinds : AllKinds));
    co_await runEvent(Kind, Node);
    Node.IsBusy = false;
  }
  --OpenEvents;
}

void soak_fleet::run() {
  for (auto &Node : Nodes)
    asio::co_spawn(Context, Node->Server->report(), asio::detached);
  asio::co_spawn(
      Context,
      [this]() -> awaitable<void> {
        co_await ready();
        asio::co_spawn(Context, watchProcesses(), asio::detached);
        for (auto &Node : Nodes)
          for (unsigned Number = 0; Number < Plan.ClientsPerNode; ++Number)
            asio::co_spawn(Context, client(*Node, Number), asio::detached);
        for (unsigned Series = 0; Series < Plan.EventsAtOnce; ++Series)
          asio::co_spawn(Context, events(), asio::detached);
        co_await sleepFor(Plan.Time);
        Ending = true;
        instant GiveUpAt = currentTime() + EndTimeout;
        while ((OpenClients > 0 || OpenEvents > 0) && currentTime() < GiveUpAt)
          co_await sleepFor(CheckInterval);
        if (OpenClients > 0 || OpenEvents > 0)
          Record.hung();
        Context.stop();
      },
      asio::detached);
  Context.run();
  endProcesses();
}

} // namespace chivebeam::tests
