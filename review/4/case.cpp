// A machine gets SIGTERM while its consumers upload. One of the uploads is
// large, but within the limits of the configuration.
#include "fleet.h"

using namespace review;

namespace {

constexpr std::size_t UsualBytes = 60'000;
constexpr std::size_t LargeBytes = 40 << 20;
constexpr milliseconds UploadInterval{40};
constexpr milliseconds WorkTime{150};
constexpr double GracePeriodS = 6;

struct run_time {
  double From = 0;
  double To = 0;
};

awaitable<int> play(fleet &Fleet) {
  recorder &Record = Fleet.Record;
  std::map<std::string, run_time> Runs;
  Fleet.Machines[1]->Server->Script =
      [&](server &Own, tcp::socket &Socket,
          text_request Request) -> awaitable<void> {
    std::string Id(Request["Request-Id"]);
    Runs[Id].From = elapsed();
    Record.line("server runs %s", Id.c_str());
    co_await pause(WorkTime);
    co_await Own.answerWell(Socket, Request);
    Runs[Id].To = elapsed();
  };
  if (!co_await Fleet.start())
    co_return 2;
  co_await pause(seconds(4));
  node &Node = *Fleet.Machines[0]->Node;
  bool Sending = true;
  unsigned Number = 0;
  unsigned Served = 0;
  std::map<std::string, outcome> Outcomes;
  auto Upload = [&](std::string Id, std::size_t Bytes) -> awaitable<void> {
    consumer_request Request;
    Request.Method = "POST";
    Request.Host = "photos.example";
    Request.Path = "/photo/1";
    Request.DeadlineMs = 1200;
    Request.Id = Id;
    Request.Body.assign(Bytes, 'p');
    outcome Out = co_await sendRequest(Node.Outbound, std::move(Request));
    Record.line("consumer: %s of %zu bytes sent %.3f answered %u%s", Id.c_str(),
                Bytes, Out.SentAt, Out.Status,
                Out.Signed ? " by the server" : "");
    Served += Out.Status == 200 ? 1 : 0;
    Outcomes[Id] = Out;
  };
  asio::co_spawn(
      Fleet.Context,
      [&]() -> awaitable<void> {
        while (Sending) {
          asio::co_spawn(Fleet.Context,
                         Upload("u" + std::to_string(++Number), UsualBytes),
                         asio::detached);
          co_await pause(UploadInterval);
        }
      },
      asio::detached);
  co_await pause(seconds(4));
  double StopAt = elapsed();
  if (withTrouble()) {
    Record.line("%s gets SIGTERM", Node.Name.c_str());
    Node.signal(SIGTERM);
  }
  co_await pause(milliseconds(500));
  asio::co_spawn(Fleet.Context, Upload("large", LargeBytes), asio::detached);
  // Two questions about its readiness have no 200 after two seconds.
  co_await pause(milliseconds(1500));
  Sending = false;
  co_await pause(seconds(5));
  unsigned BrokenOff = 0;
  for (auto &[Id, Out] : Outcomes) {
    run_time &Run = Runs[Id];
    bool Around = withTrouble() && Out.EndedAt > StopAt &&
                  Out.EndedAt < StopAt + GracePeriodS + 1;
    bool AtWork = Run.From > 0 && Out.EndedAt > Run.From &&
                  (Run.To == 0 || Out.EndedAt < Run.To);
    if (!Around || Out.Signed || !AtWork)
      continue;
    ++BrokenOff;
    Record.line("%s was broken off with %u while the server worked on it (%.3f "
                "to %.3f)",
                Id.c_str(), Out.Status, Run.From, Run.To);
  }
  Record.line("served %u; broken off around the SIGTERM: %u", Served,
              BrokenOff);
  co_return Served == 0 ? 2 : BrokenOff > 0 ? 1 : 0;
}

} // namespace

int main(int, char **Arguments) {
  fleet Fleet(Arguments[1]);
  Fleet.configure({service("status-desk"), service("photo-vault")},
                  {json::object{{"host", "photos.example"},
                                {"paths",
                                 {route("r-photo", "/photo/", "upload",
                                        "photo-vault", 4.0, 0.3, 2)}}}});
  Fleet.add("status-desk", "zone-a", 6);
  Fleet.add("photo-vault", "zone-a", 6);
  Fleet.add("photo-vault", "zone-b", 6);
  return Fleet.run([&] { return play(Fleet); });
}
