// A request crashes each server that runs it, while the server sends its
// answer. The request comes again at all machines.
#include "fleet.h"

using namespace review;

namespace {

constexpr double StabilityWindowS = 3;
constexpr unsigned CrashesThatCount = 3;
constexpr unsigned MaxRetriesAfterwards = 3;
constexpr milliseconds ServerDown{3000};
constexpr milliseconds ComesAgainAfter{1000};
constexpr seconds PlayTime{40};

struct arrival {
  std::string Id;
  double At;
};

awaitable<int> play(fleet &Fleet) {
  recorder &Record = Fleet.Record;
  // With BYTES=0 the servers crash before they have sent a byte.
  const char *Bytes = std::getenv("BYTES");
  const bool AnswerBegins = !Bytes || std::string(Bytes) != "0";
  std::vector<arrival> Arrivals;
  std::vector<double> Crashes;
  for (auto &Machine : Fleet.Machines)
    Machine->Server->Script = [&](server &Own, tcp::socket &Socket,
                                  text_request Request) -> awaitable<void> {
      co_await pause(milliseconds(20));
      if (Request.target() != "/status/17" || !withTrouble())
        co_return co_await Own.answerWell(Socket, Request);
      Arrivals.push_back({std::string(Request["Request-Id"]), elapsed()});
      std::string Half =
          "HTTP/1.1 200 OK\r\nRequest-Id: " + Arrivals.back().Id +
          "\r\nResponse-Signature: " + Own.Id +
          "\r\nContent-Length: 1500\r\n\r\n" + std::string(700, 'x');
      error_code Ignored;
      if (AnswerBegins)
        co_await asio::async_write(Socket, asio::buffer(Half),
                                   orError(Ignored));
      co_await pause(milliseconds(2));
      Record.line("server %s runs %s and crashes", Own.Id.c_str(),
                  Arrivals.back().Id.c_str());
      Crashes.push_back(elapsed());
      Own.crash();
      asio::co_spawn(
          Fleet.Context,
          [&]() -> awaitable<void> {
            co_await pause(ServerDown);
            Own.start();
          },
          asio::detached);
    };
  if (!co_await Fleet.start())
    co_return 2;
  co_await pause(seconds(4));
  bool Sending = true;
  unsigned Number = 0;
  unsigned Served = 0;
  unsigned Unserved = 0;
  asio::co_spawn(
      Fleet.Context,
      [&]() -> awaitable<void> {
        while (Sending) {
          asio::co_spawn(
              Fleet.Context,
              [&]() -> awaitable<void> {
                consumer_request Request;
                Request.Host = "desk.example";
                Request.Path = "/status/" + std::to_string(100 + Number % 50);
                Request.DeadlineMs = 800;
                Request.Id = "s" + std::to_string(++Number);
                outcome Out = co_await sendRequest(
                    Fleet.Machines[Number % Fleet.Machines.size()]
                        ->Node->Outbound,
                    Request);
                (Out.Status == 200 ? Served : Unserved) += 1;
              },
              asio::detached);
          co_await pause(milliseconds(50));
        }
      },
      asio::detached);
  double Ends = elapsed() + static_cast<double>(PlayTime.count());
  for (unsigned Attempt = 1; elapsed() < Ends; ++Attempt) {
    asio::co_spawn(
        Fleet.Context,
        [&, Attempt]() -> awaitable<void> {
          consumer_request Request;
          Request.Host = "desk.example";
          Request.Path = "/status/17";
          Request.DeadlineMs = 800;
          Request.Id = "c" + std::to_string(Attempt);
          node &Node = *Fleet.Machines[Attempt % Fleet.Machines.size()]->Node;
          std::string Id = Request.Id;
          outcome Out = co_await sendRequest(Node.Outbound, Request);
          Record.line("consumer: %s sent %.3f to %s answered %u", Id.c_str(),
                      Out.SentAt, Node.Name.c_str(), Out.Status);
        },
        asio::detached);
    co_await pause(ComesAgainAfter);
  }
  Sending = false;
  co_await pause(seconds(2));
  Record.line("other requests: served %u, not served %u", Served, Unserved);
  unsigned Late = 0;
  std::set<std::string> Attempts;
  if (Crashes.size() >= CrashesThatCount) {
    double Third = Crashes[CrashesThatCount - 1];
    for (const arrival &Arrival : Arrivals)
      if (Arrival.At > Third + StabilityWindowS) {
        ++Late;
        Attempts.insert(Arrival.Id);
      }
    Record.line("the third crash was at %.3f", Third);
  }
  Record.line("crashes: %zu; retries that reached servers later than "
              "stabilityWindowS after the third: %u, of %zu attempts of "
              "consumers",
              Crashes.size(), Late, Attempts.size());
  co_return Served == 0 ? 2 : Attempts.size() > MaxRetriesAfterwards ? 1 : 0;
}

} // namespace

int main(int, char **Arguments) {
  fleet Fleet(Arguments[1]);
  Fleet.configure({service("status-desk"), service("kassa")},
                  {json::object{{"host", "desk.example"},
                                {"paths",
                                 {route("r-status", "/status/", "safe",
                                        "status-desk", 0.8, 0.2, 2)}}}});
  for (const char *Zone : {"zone-a", "zone-b", "zone-c"})
    for (int Number = 0; Number < 2; ++Number)
      Fleet.add("status-desk", Zone, 6);
  return Fleet.run([&] { return play(Fleet); });
}
