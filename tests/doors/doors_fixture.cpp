#include "doors_fixture.h"

#include <csignal>
#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>

#include "net/http_client.h"

namespace chivebeam::tests {

namespace json = boost::json;

namespace {

constexpr std::uint16_t CallersPort = 8629;
constexpr std::uint16_t ReadyPort = 8625;
constexpr std::uint16_t ReportsPort = 8620;
constexpr std::uint16_t PeerPort = 7600;
constexpr std::uint16_t MetricsPort = 9464;
constexpr unsigned DescriptorsOfFiles = 200;
constexpr unsigned Slots = 200;
constexpr milliseconds ReportInterval{1'000};
constexpr milliseconds SampleInterval{10};
constexpr milliseconds CheckInterval{20};
/// Time without a step after which a crowd has done what it can.
constexpr milliseconds QuietTime{1'000};
constexpr seconds MaxCrowdTime{15};
constexpr seconds TestTimeout{60};
constexpr seconds CallTimeout{20};
constexpr std::size_t OrdinaryBytes = 1 << 10;
constexpr std::size_t LargeAnswerBytes = 1 << 20;
constexpr std::size_t EndlessPieceBytes = 64 << 10;
/// An answer without end is fast up to here.
constexpr std::size_t EndlessFastBytes = 15 << 20;
constexpr milliseconds EndlessPause{250};

/// Returns an address of this test alone, so that the ports are free.
std::string ownIp() {
  static unsigned Fixtures = 0;
  auto Number = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(20 + Number % 200) + "." +
         std::to_string(1 + Number / 200 % 250) + "." +
         std::to_string(1 + Fixtures++ % 250);
}

std::string answerStart(const http::request<http::string_body> &Request) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " +
         std::string(Request["Request-Id"]) + "\r\nResponse-Signature: s\r\n";
}

/// The part of an answer that has no end, and what the server sends before it.
struct endless_part {
  std::string Start;
  std::string Piece;
  bool IsSlow = false; ///< with a pause after each piece
};

/// Returns the part that a path names; empty for other paths.
std::optional<endless_part> endlessPart(const std::string &Path,
                                        const std::string &Head) {
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Bytes(EndlessPieceBytes, 'x');
  std::string Fields;
  while (Fields.size() < EndlessPieceBytes)
    Fields += "A:\r\n";
  // With the head it stays below the limit of a head.
  const std::string ManyFields = Fields.substr(0, EndlessPieceBytes - 4'096);
  if (Path == "/api/endless")
    return endless_part{Chunked, "10000\r\n" + Bytes + "\r\n"};
  if (Path == "/api/endless/fields")
    return endless_part{Head, Fields};
  if (Path == "/api/endless/slow_fields")
    return endless_part{Head + ManyFields, "A:\r\n", true};
  if (Path == "/api/endless/body_after_many_fields")
    return endless_part{Head + ManyFields + "\r\n", "x", true};
  if (Path == "/api/endless/field")
    return endless_part{Head + "A: ", Bytes};
  if (Path == "/api/endless/noise")
    return endless_part{"", Bytes};
  if (Path == "/api/endless/body")
    return endless_part{Head + "\r\n", Bytes};
  if (Path == "/api/endless/extension")
    return endless_part{Chunked + "5;a=", Bytes};
  if (Path == "/api/endless/trailer")
    return endless_part{Chunked + "0\r\n", Fields};
  if (Path == "/api/endless/interim")
    return endless_part{"", "HTTP/1.1 102 Processing\r\n" + Fields + "\r\n"};
  return std::nullopt;
}

awaitable<void> answerWithoutEnd(tcp::socket &Socket, endless_part Part,
                                 std::uint64_t &Moved) {
  error_code Code;
  co_await asio::async_write(Socket, asio::buffer(Part.Start), orError(Code));
  for (std::size_t Sent = 0; !Code; Sent += Part.Piece.size()) {
    co_await asio::async_write(Socket, asio::buffer(Part.Piece), orError(Code));
    if (Part.IsSlow || Sent >= EndlessFastBytes)
      co_await sleepFor(EndlessPause);
    else
      ++Moved;
  }
  Socket.close(Code);
}

} // namespace

doors_fixture::doors_fixture(stated_limits StatedLimits)
    : Limits(StatedLimits), Ip(ownIp()), Store(Context),
      Server(Context, server()) {
  char Pattern[] = "/tmp/chivebeam-doors-XXXXXX";
  Directory = ::mkdtemp(Pattern);
  writeFiles();
  startProcess();
}

doors_fixture::~doors_fixture() {
  ::kill(Process, SIGKILL);
  ::waitpid(Process, nullptr, 0);
  std::filesystem::remove_all(Directory);
}

address doors_fixture::addressOf(door At) const {
  switch (At) {
  case door::ready:
    return {Ip, ReadyPort};
  case door::metrics:
    return {Ip, MetricsPort};
  case door::reports:
    return {Ip, ReportsPort};
  default:
    return {Ip, CallersPort};
  }
}

std::string doors_fixture::head(door At, const std::string &Method,
                                const std::string &RoutePath) {
  std::string Path = At == door::route      ? RoutePath
                     : At == door::no_route ? "/nowhere"
                     : At == door::ready    ? "/readiness"
                     : At == door::metrics  ? "/metrics"
                                            : "/instances/unknown";
  return Method + " " + Path +
         " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: crowd\r\n"
         "Deadline-Ms: 20000\r\n";
}

void doors_fixture::writeFiles() {
  auto At = [&](std::uint16_t Port) { return address{Ip, Port}.text(); };
  json::object Settings{{"nodeName", "node-1"},
                        {"ip", Ip},
                        {"zone", "zone-a"},
                        {"listen",
                         {{"outbound", At(CallersPort)},
                          {"ready", At(ReadyPort)},
                          {"control", At(ReportsPort)}}},
                        {"internalPortRange", {PeerPort, PeerPort}},
                        {"firstStart", true},
                        {"limits",
                         {{"memoryMb", Limits.MemoryMb},
                          {"maxFileDescriptors", Limits.MaxDescriptors}}},
                        {"heartbeatIntervalS", 1.0},
                        {"bounds",
                         {{"gracePeriodS", 6},
                          {"retryBudgetRatio", 0.2},
                          {"budgetWindowS", 10},
                          {"retryBudgetSlack", 58}}},
                        {"applicationAddress", Server.bound().text()},
                        {"service", "api"},
                        {"platform", {{"address", Store.listen().text()}}}};
  std::ofstream(Directory + "/settings.json") << json::serialize(Settings);
  json::object Route{{"name", "api"},         {"prefix", "/api/"},
                     {"routeType", "unsafe"}, {"timeoutS", 30},
                     {"service", "api"},      {"maxAttempts", 1}};
  json::object Config{
      {"version", 1},
      {"services", {json::object{{"name", "api"}, {"maxConnections", 500}}}},
      {"limits",
       {{"maxHeaderBytes", 16'384},
        {"maxBodyBytes", Limits.MaxBodyBytes},
        {"headerTimeoutS", 3},
        {"idleTimeoutS", 15}}},
      {"virtualHosts",
       {json::object{{"host", "shop.example"}, {"paths", {Route}}}}}};
  Store.put("op/config", json::serialize(Config));
}

void doors_fixture::startProcess() {
  std::string Settings = Directory + "/settings.json";
  std::string Log = Directory + "/log";
  pid_t Parent = ::getpid();
  Process = ::fork();
  if (Process != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != Parent)
    ::_exit(1);
  int File = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(File, 1);
  ::dup2(File, 2);
  // The sockets of the test are not those of the process.
  ::close_range(3, ~0U, 0);
  ::execl(CHIVEBEAM_PROGRAM, "chivebeam", "sidecar", "--settings",
          Settings.c_str(), nullptr);
  ::_exit(127);
}

scripted_worker::script doors_fixture::server() {
  return [this](tcp::socket &Socket) -> awaitable<void> {
    beast::flat_buffer Buffer;
    while (auto Request = co_await readRequest(Socket, Buffer)) {
      ++Moved;
      std::string Target(Request->target());
      std::string Start = answerStart(*Request);
      if (auto Part = endlessPart(Target, Start))
        co_return co_await answerWithoutEnd(Socket, std::move(*Part), Moved);
      // It answers when the node has given up.
      if (Target == "/api/slow")
        co_await sleepFor(TestTimeout);
      std::string Body(Target == "/api/large" ? LargeAnswerBytes : 2, 'x');
      Start.append("Content-Length: ")
          .append(std::to_string(Body.size()))
          .append("\r\n\r\n")
          .append(Body);
      co_await write(Socket, Start);
      ++Moved;
    }
  };
}

awaitable<void> doors_fixture::report() {
  for (std::int64_t Sequence = 1;; ++Sequence) {
    json::object Body{
        {"address", Server.bound().text()},
        {"born", 1},
        {"info",
         {{"service", "api"},
          {"version", "v1"},
          {"zone", "zone-a"},
          {"slots", Slots}}},
        {"status",
         {{"state", "ready"}, {"sequence", Sequence}, {"coldRemainingS", 0}}}};
    auto Request =
        makeRequest(http::verb::put, "/instances/w-1", json::serialize(Body));
    co_await httpCall(addressOf(door::reports), std::move(Request),
                      ReportInterval, 1 << 16);
    co_await sleepFor(ReportInterval);
  }
}

awaitable<void> doors_fixture::sample() {
  const std::string Folder = "/proc/" + std::to_string(Process);
  const auto PageBytes = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  for (;;) {
    std::ifstream File(Folder + "/statm");
    std::size_t Total = 0;
    std::size_t Resident = 0;
    File >> Total >> Resident;
    PeakBytes = std::max(PeakBytes, Resident * PageBytes);
    std::error_code Code;
    std::filesystem::directory_iterator Open(Folder + "/fd", Code);
    auto Count = Code ? 0 : std::distance(begin(Open), end(Open));
    PeakDescriptors =
        std::max(PeakDescriptors, static_cast<std::size_t>(Count));
    co_await sleepFor(SampleInterval);
  }
}

awaitable<unsigned> doors_fixture::ordinaryCall() {
  std::string Body(OrdinaryBytes, 'o');
  co_return co_await statusOf(
      door::route, head(door::route) + "Content-Length: " +
                       std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

awaitable<unsigned> doors_fixture::probe(door At) {
  co_return co_await statusOf(At, head(At, "GET") + "\r\n");
}

awaitable<unsigned> doors_fixture::statusOf(door At, std::string Request) {
  auto Caller = std::make_shared<caller>(Context);
  asio::steady_timer Limit(Context, CallTimeout);
  Limit.async_wait([Caller](error_code Code) {
    if (!Code)
      Caller->close();
  });
  co_await Caller->connect(addressOf(At));
  auto Answer = co_await Caller->call(std::move(Request));
  co_return Answer ? Answer->result_int() : 0;
}

awaitable<void> doors_fixture::ready() {
  bool Listens = false;
  while (!Listens) {
    tcp::socket Socket(Context);
    error_code Code;
    co_await Socket.async_connect(toTcp(addressOf(door::route)), orError(Code));
    Listens = !Code;
    co_await sleepFor(CheckInterval);
  }
  while (co_await ordinaryCall() != 200)
    co_await sleepFor(CheckInterval);
}

awaitable<void> doors_fixture::join(door At,
                                    std::shared_ptr<const crowd_client> Form) {
  auto Socket = std::make_shared<tcp::socket>(Context);
  Crowd.push_back(Socket);
  error_code Code;
  co_await Socket->async_connect(toTcp(addressOf(At)), orError(Code));
  if (!Code)
    Socket->set_option(tcp::no_delay(true), Code);
  if (!Code)
    co_await asio::async_write(*Socket, asio::buffer(Form->Head),
                               orError(Code));
  ++Moved;
  std::string Read(Form->ReadBytes, '\0');
  for (std::size_t Sent = 0; !Code && Sent < Form->Pieces; ++Sent) {
    if (Form->Pause.count() > 0)
      co_await sleepFor(Form->Pause);
    else
      ++Moved;
    co_await asio::async_write(*Socket, asio::buffer(Form->Piece),
                               orError(Code));
    if (!Code && !Read.empty())
      co_await Socket->async_read_some(asio::buffer(Read), orError(Code));
  }
  if (!Code)
    co_await asio::async_write(*Socket, asio::buffer(Form->Tail),
                               orError(Code));
  ++Moved;
}

awaitable<void> doors_fixture::settle() {
  auto Began = std::chrono::steady_clock::now();
  auto Changed = Began;
  std::uint64_t Seen = Moved;
  for (auto Now = Began;
       Now < Changed + QuietTime && Now < Began + MaxCrowdTime;
       Now = std::chrono::steady_clock::now()) {
    if (std::exchange(Seen, Moved) != Moved)
      Changed = Now;
    co_await sleepFor(CheckInterval);
  }
}

void doors_fixture::checkBounds() {
  BOOST_TEST_MESSAGE("peak " << PeakBytes / 1024 << " KiB, " << PeakDescriptors
                             << " descriptors");
  BOOST_TEST(::waitpid(Process, nullptr, WNOHANG) == 0, "the process ended");
  BOOST_TEST(PeakBytes <= std::size_t{Limits.MemoryMb} << 20);
  BOOST_TEST(PeakDescriptors <= Limits.MaxDescriptors - DescriptorsOfFiles);
}

void doors_fixture::run(std::function<awaitable<void>()> Test) {
  bool Ended = false;
  asio::co_spawn(Context, report(), asio::detached);
  asio::co_spawn(
      Context,
      [&]() -> awaitable<void> {
        co_await ready();
        asio::co_spawn(Context, sample(), asio::detached);
        co_await Test();
      },
      [&](std::exception_ptr) {
        Ended = true;
        Context.stop();
      });
  Context.run_for(TestTimeout);
  BOOST_TEST(Ended, "the test did not end");
  checkBounds();
}

void doors_fixture::check(door At, const crowd_client &Client, unsigned Count) {
  BOOST_TEST_CONTEXT("door " << static_cast<int>(At)) {
    run([&, Form = std::make_shared<const crowd_client>(
                Client)]() -> awaitable<void> {
      for (unsigned Index = 0; Index < Count; ++Index)
        asio::co_spawn(Context, join(At, Form), asio::detached);
      co_await settle();
      unsigned Beside = co_await ordinaryCall();
      BOOST_TEST(Beside == 200u);
      unsigned Probed = co_await probe(door::ready);
      BOOST_TEST(Probed == 200u);
      Probed = co_await probe(door::metrics);
      BOOST_TEST(Probed == 200u);
      // It asks for a backend server that isn't there.
      Probed = co_await probe(door::reports);
      BOOST_TEST(Probed != 0u);
      for (const auto &Socket : Crowd)
        Socket->close();
      unsigned After = co_await ordinaryCall();
      BOOST_TEST(After == 200u);
    });
  }
}

unsigned doors_fixture::checkOne(crowd_client Request) {
  unsigned Status = 0;
  run([&]() -> awaitable<void> {
    tcp::socket Socket(Context);
    co_await Socket.async_connect(toTcp(addressOf(door::route)),
                                  asio::use_awaitable);
    error_code Code;
    co_await asio::async_write(Socket, asio::buffer(Request.Head),
                               orError(Code));
    for (std::size_t Sent = 0; !Code && Sent < Request.Pieces; ++Sent)
      co_await asio::async_write(Socket, asio::buffer(Request.Piece),
                                 orError(Code));
    if (!Code)
      co_await asio::async_write(Socket, asio::buffer(Request.Tail),
                                 orError(Code));
    beast::flat_buffer Buffer;
    text_answer Answer;
    if (!Code)
      co_await http::async_read(Socket, Buffer, Answer, orError(Code));
    Status = Code ? 0 : Answer.result_int();
  });
  return Status;
}

} // namespace chivebeam::tests
