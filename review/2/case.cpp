// A server leaves with DELETE while the store is away, and is acknowledged.
// After the store is back, all nodes are killed and started again. The server
// still serves its last requests and must get no new ones.
#include "fleet.h"

using namespace review;

namespace {

constexpr double DrainS = 2;
constexpr double StabilityWindowS = 3;
constexpr milliseconds StoreAwayTime{4500};
/// From its acknowledgement to the end of the server.
constexpr seconds ServesOn{16};
constexpr milliseconds RequestInterval{25};

struct arrival {
  std::string Id;
  double At;
};

awaitable<int> play(fleet &Fleet) {
  recorder &Record = Fleet.Record;
  std::vector<arrival> AtLeaver;
  std::map<std::string, double> SentAt;
  unsigned Served = 0;
  unsigned Unserved = 0;
  if (!co_await Fleet.start())
    co_return 2;
  server &Leaver = *Fleet.Machines[1]->Server;
  Leaver.Script = [&](server &Own, tcp::socket &Socket,
                      text_request Request) -> awaitable<void> {
    AtLeaver.push_back({std::string(Request["Request-Id"]), elapsed()});
    Record.line("server %s runs %s", Own.Id.c_str(),
                AtLeaver.back().Id.c_str());
    co_await pause(milliseconds(20));
    co_await Own.answerWell(Socket, Request);
  };
  co_await pause(seconds(4));
  bool Sending = true;
  unsigned Number = 0;
  std::function<awaitable<void>()> Consume = [&]() -> awaitable<void> {
    consumer_request Request;
    Request.Method = "POST";
    Request.Host = "kassa.example";
    Request.Path = "/deposit/1";
    Request.Body = "a deposit";
    Request.Id = "d" + std::to_string(++Number);
    SentAt[Request.Id] = elapsed();
    std::string Id = Request.Id;
    outcome Out =
        co_await sendRequest(Fleet.Machines[0]->Node->Outbound, Request);
    (Out.Status == 200 ? Served : Unserved) += 1;
    Record.line("consumer: %s sent %.3f answered %u", Id.c_str(), Out.SentAt,
                Out.Status);
  };
  asio::co_spawn(
      Fleet.Context,
      [&]() -> awaitable<void> {
        while (Sending) {
          asio::co_spawn(Fleet.Context, Consume(), asio::detached);
          co_await pause(RequestInterval);
        }
      },
      asio::detached);
  co_await pause(seconds(2));
  bool Reached = !AtLeaver.empty();
  if (withTrouble()) {
    Record.line("the store is away");
    Fleet.Store->setAway(true);
  }
  co_await pause(seconds(1));
  unsigned Status = co_await Leaver.leaveWithoutNotice();
  double AcknowledgedAt = elapsed();
  Record.line("server %s said that it leaves; acknowledged with %u",
              Leaver.Id.c_str(), Status);
  if (Status / 100 != 2 || !Reached)
    co_return 2;
  co_await pause(StoreAwayTime - seconds(1));
  Fleet.Store->setAway(false);
  Record.line("the store is back; what it holds of the leaving server: %s",
              Fleet.Store
                  ->value("chivebeam-server/" + Fleet.Machines[1]->Node->Name)
                  .c_str());
  co_await pause(milliseconds(1500));
  if (withTrouble()) {
    Record.line("all nodes are killed");
    for (auto &Machine : Fleet.Machines)
      Machine->Node->kill();
    co_await pause(milliseconds(500));
    for (auto &Machine : Fleet.Machines)
      Machine->Node->start(false);
    Record.line("all nodes are started again");
  }
  double InTouchFrom = elapsed() + StabilityWindowS;
  while (elapsed() < AcknowledgedAt + static_cast<double>(ServesOn.count()))
    co_await pause(milliseconds(20));
  Leaver.crash();
  Record.line("server %s has ended", Leaver.Id.c_str());
  co_await pause(seconds(1));
  Sending = false;
  co_await pause(seconds(2));
  // The machines are in touch again from InTouchFrom on, for the store has been
  // back for longer.
  unsigned Late = 0;
  unsigned LateInTouch = 0;
  for (const arrival &Arrival : AtLeaver) {
    bool IsLate = SentAt[Arrival.Id] > AcknowledgedAt + DrainS;
    Late += IsLate ? 1 : 0;
    LateInTouch += IsLate && SentAt[Arrival.Id] > InTouchFrom ? 1 : 0;
  }
  Record.line("served %u, not served %u", Served, Unserved);
  Record.line("requests that reached the server later than drainS after its "
              "acknowledgement: %u, of these taken by machines in touch: %u",
              Late, LateInTouch);
  co_return Served == 0 ? 2 : LateInTouch > 0 ? 1 : 0;
}

} // namespace

int main(int, char **Arguments) {
  fleet Fleet(Arguments[1]);
  Fleet.configure(
      {service("status-desk"), service("kassa"), service("photo-vault")},
      {json::object{{"host", "kassa.example"},
                    {"paths", {route("r-deposit", "/deposit/", "unsafe",
                                     "kassa", 1.0, 0.25, 2)}}}});
  Fleet.add("status-desk", "zone-a", 6);
  Fleet.add("kassa", "zone-a", 6);
  Fleet.add("kassa", "zone-b", 6);
  Fleet.add("kassa", "zone-c", 6);
  return Fleet.run([&] { return play(Fleet); });
}
