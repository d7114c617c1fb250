#include "soak_server.h"

#include <boost/json.hpp>

#include "net/clock.h"
#include "net/http_client.h"

namespace chivebeam::tests {

namespace json = boost::json;

namespace {

constexpr unsigned Slots = 16;
constexpr milliseconds ReportInterval{500};
constexpr milliseconds RestartTime{900};
/// From the acknowledgement of a leave to the last request; the platform's
/// bound on it.
constexpr seconds DrainTime{2};
constexpr unsigned MaxRunMillis = 60;
constexpr unsigned SpoiledOneIn = 4;
constexpr std::size_t EndlessBytes = 2 << 20;
constexpr std::size_t MaxBodyBytes = 16 << 20;

std::string repeat(const std::string &Text, std::size_t Bytes) {
  std::string Out;
  while (Out.size() < Bytes)
    Out += Text;
  return Out;
}

std::string inChunk(const std::string &Body) {
  char Size[16];
  std::snprintf(Size, sizeof Size, "%zx", Body.size());
  return std::string(Size).append("\r\n").append(Body).append("\r\n");
}

} // namespace

soak_server::soak_server(asio::io_context &IoContext, soak_record &SoakRecord,
                         address ReportsAddress, std::string ServerName,
                         std::uint64_t Seed)
    : Context(IoContext), Record(SoakRecord),
      ReportsTo(std::move(ReportsAddress)), Name(std::move(ServerName)),
      Random(Seed),
      Server(Context, [this](tcp::socket &Socket) { return serve(Socket); }) {
  start();
}

void soak_server::start() {
  Born = std::max(Born + 1, currentTime().time_since_epoch().count() / 1'000);
  Sequence = 0;
  Runs = true;
  IsLeaving = false;
  LeftAt.reset();
}

awaitable<unsigned> soak_server::sendReport(std::string State) {
  json::object Body{
      {"address", bound().text()},
      {"born", Born},
      {"info",
       {{"service", "shop"},
        {"version", "v1"},
        {"zone", "zone-a"},
        {"slots", Slots}}},
      {"status",
       {{"state", State}, {"sequence", ++Sequence}, {"coldRemainingS", 0}}}};
  http_request Request =
      makeRequest(http::verb::put, "/instances/" + id(), json::serialize(Body));
  result<http_response> Answer =
      co_await httpCall(ReportsTo, std::move(Request), seconds(1), 1 << 16);
  co_return Answer ? Answer->result_int() : 0;
}

awaitable<void> soak_server::report() {
  for (;;) {
    if (Runs && !IsLeaving)
      co_await sendReport("ready");
    co_await sleepFor(ReportInterval);
  }
}

awaitable<void> soak_server::crash() {
  if (!std::exchange(Runs, false))
    co_return;
  Record.disturbed(currentTime(), currentTime() + RestartTime);
  Server.crash();
  co_await sleepFor(RestartTime);
  Server.restart();
  start();
}

awaitable<void> soak_server::replace() {
  if (!Runs || std::exchange(IsLeaving, true))
    co_return;
  unsigned Status = co_await sendReport("draining");
  if (Status == 200)
    LeftAt = currentTime();
  co_await sleepFor(DrainTime + ReportInterval);
  if (Runs)
    start();
}

awaitable<void> soak_server::spoil(server_fault Kind, milliseconds For) {
  Record.disturbed(currentTime(), currentTime() + For);
  Fault = Kind;
  co_await sleepFor(For);
  Fault = server_fault::none;
}

bool soak_server::noteRun(const std::string &Id) {
  instant Now = currentTime();
  request_record &Entry = Record.of(Id);
  ++Entry.Runs;
  if (LeftAt && Now > *LeftAt + DrainTime)
    Record.lateRun(Id, id());
  // Few requests are uploads, so an early answer spoils each.
  bool IsSpoiled =
      Fault == server_fault::early_reset ||
      (Fault != server_fault::none && Random.below(SpoiledOneIn) == 0);
  Entry.WasSpoiled = Entry.WasSpoiled || IsSpoiled;
  return IsSpoiled;
}

awaitable<void> soak_server::serve(tcp::socket &Socket) {
  beast::flat_buffer Buffer;
  for (;;) {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    error_code Code;
    co_await http::async_read_header(Socket, Buffer, Parser, orError(Code));
    const bool AnswersEarly = Fault == server_fault::early_reset;
    if (!Code && !AnswersEarly)
      co_await http::async_read(Socket, Buffer, Parser, orError(Code));
    if (Code)
      co_return;
    std::string Id(Parser.get()["Request-Id"]);
    std::string Expected(Parser.get()["Expected-Instance"]);
    std::string Head =
        "\r\nRequest-Id: " + Id + "\r\nResponse-Signature: s\r\n";
    if (Expected != id()) {
      std::string Refusal =
          "HTTP/1.1 421 Misdirected" + Head + "Content-Length: 0\r\n\r\n";
      co_await write(Socket, Refusal);
      if (!Parser.is_done())
        co_return;
      continue;
    }
    bool IsSpoiled = noteRun(Id);
    if (!IsSpoiled && !Parser.is_done())
      co_await http::async_read(Socket, Buffer, Parser, orError(Code));
    if (Code)
      co_return;
    co_await sleepFor(milliseconds(5 + Random.below(MaxRunMillis)));
    if (!Socket.is_open())
      co_return;
    std::string Body = "answer to " + Id;
    if (IsSpoiled) {
      co_await sendFaulty(Socket, Head, Body);
      co_return;
    }
    if (IsLeaving)
      Head += "Server-Leaving: 1\r\n";
    std::string Answer = "HTTP/1.1 200 OK" + Head;
    Answer.append("Content-Length: ")
        .append(std::to_string(Body.size()))
        .append("\r\n\r\n")
        .append(Body);
    co_await write(Socket, Answer);
  }
}

std::string soak_server::faultyAnswer(const std::string &Head,
                                      const std::string &Body) const {
  std::string Ok = "HTTP/1.1 200 OK" + Head;
  const std::string Whole = "Content-Length: 4\r\n\r\npart";
  const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
  switch (Fault) {
  case server_fault::none:
  case server_fault::cut:
    return Ok + "Content-Length: 100\r\n\r\npart";
  case server_fault::endless_fields:
    return Ok + repeat("A:\r\n", EndlessBytes);
  case server_fault::endless_body:
    return Chunked + repeat("4\r\npart\r\n", EndlessBytes);
  case server_fault::long_trailer:
    return Chunked + inChunk(Body) + "0\r\nA: " + std::string(70'000, 'a') +
           "\r\n\r\n";
  case server_fault::reset_unframed:
  case server_fault::early_reset:
    return Ok + "\r\npart";
  case server_fault::no_status:
    return "HTTP/1.1 000 None" + Head + Whole;
  case server_fault::odd_field:
    return Ok + "A \x01: b\r\n" + Whole;
  case server_fault::second_answer:
    return "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n" + Whole;
  }
  return Ok;
}

awaitable<void> soak_server::sendFaulty(tcp::socket &Socket, std::string Head,
                                        std::string Body) {
  const bool Resets = Fault == server_fault::reset_unframed ||
                      Fault == server_fault::early_reset;
  std::string Answer = faultyAnswer(Head, Body);
  co_await write(Socket, std::move(Answer));
  error_code Ignored;
  if (Resets)
    Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

} // namespace chivebeam::tests
