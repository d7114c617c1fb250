// Three backend servers of one zone crash together while each runs a read of
// the same page. They are back after two seconds.
#include "../stand_ins_2/fleet.h"

using namespace review;

namespace {

constexpr int ServersInZone = 3;
constexpr int DownMs = 2'000;
constexpr int JudgedRequests = 60; // rule CONFIG: 20 or more
constexpr double CalmS = 8;        // after the servers are back; more than
                                   // stabilityWindowS

} // namespace

int main(int, char **Arguments) {
  recorder Record(Arguments[1]);
  fleet Fleet(Record, Arguments[2], Arguments[3]);
  store Store(Fleet.storeAddress());
  const std::vector<std::string> Names{"sidecar-a-1", "sidecar-a-2",
                                       "sidecar-a-3", "sidecar-b-1",
                                       "sidecar-b-2"};
  const std::vector<std::string> Zones{"zone-a", "zone-a", "zone-a", "zone-b",
                                       "zone-b"};
  std::vector<std::unique_ptr<worker>> Workers;
  const std::vector<std::string> Services{"desk", "desk", "desk", "shop",
                                          "shop"};
  auto StartServer = [&](std::size_t Index, const std::string &Id) {
    auto Server = std::make_unique<worker>(Record, Fleet.of(Names[Index]), Id,
                                           Services[Index]);
    Server->RunTime = milliseconds(60);
    return Server;
  };
  for (std::size_t Index = 0; Index < Names.size(); ++Index) {
    Fleet.add(Names[Index], Zones[Index], Services[Index]);
    Workers.push_back(StartServer(Index, "i-" + Names[Index]));
  }
  const route First{"r-first", "desk.example", "/orders/", "safe", "desk"};
  const route Added{"r-added", "desk.example", "/rates/", "safe", "desk"};
  Store.put("op/config", configText(7, {"desk", "shop"}, {First}));
  for (const std::string &Name : Names)
    Fleet.start(Name, true);
  if (!Fleet.waitReady(milliseconds(15'000)))
    return Fleet.finish("the nodes are not ready", 2);
  for (auto &Worker : Workers)
    Worker->startReports();
  sleepMs(4'000);
  Store.put("op/config", configText(8, {"desk", "shop"}, {First, Added}));
  Record.line("a configuration adds the route /rates/");
  sleepMs(3'000);

  std::atomic<bool> Stop{false}, Judging{false};
  std::atomic<int> FirstSent{0}, FirstServed{0}, AddedSent{0}, AddedServed{0};
  std::vector<std::thread> Consumers;
  for (int Consumer = 0; Consumer < 20; ++Consumer)
    Consumers.emplace_back([&, Consumer] {
      const machine &At = Fleet.of(Names[static_cast<std::size_t>(Consumer / 4)]);
      sleepMs(Consumer * 7);
      for (int Number = 0; !Stop; ++Number) {
        bool IsAdded = Consumer % 4 != 0;
        bool Counts = Judging;
        outcome Outcome = request(
            Record, At, "GET", "desk.example",
            IsAdded ? "/rates/today"
                    : "/orders/" + std::to_string(Consumer) + "-" +
                          std::to_string(Number),
            newId(), "", 2'000);
        if (Counts) {
          ++(IsAdded ? AddedSent : FirstSent);
          (IsAdded ? AddedServed : FirstServed) += Outcome.Status == 200;
        }
        sleepMs(IsAdded && Outcome.Status == 200 ? 10 : 40);
      }
    });
  sleepMs(2'000);
  Judging = true;
  while (AddedSent < JudgedRequests || FirstSent < JudgedRequests)
    sleepMs(20);
  Judging = false;
  if (AddedServed < AddedSent || FirstServed < FirstSent)
    return Fleet.finish("requests before the trouble were not served", 2);

  std::vector<std::unique_ptr<worker>> Ended;
  if (withTrouble()) {
    Record.line("all servers of zone-a crash");
    // None answers after another has ended.
    std::vector<std::thread> Crashes;
    for (std::size_t Index = 0; Index < ServersInZone; ++Index)
      Workers[Index]->silence();
    for (std::size_t Index = 0; Index < ServersInZone; ++Index)
      Crashes.emplace_back([&, Index] { Workers[Index]->crash(); });
    for (std::thread &Crash : Crashes)
      Crash.join();
    sleepMs(DownMs);
    for (std::size_t Index = 0; Index < ServersInZone; ++Index) {
      Ended.push_back(std::move(Workers[Index]));
      Workers[Index] = StartServer(Index, "i-" + Names[Index] + "-again");
      Workers[Index]->startReports();
    }
    Record.line("all servers of zone-a are back");
  }
  sleepMs(static_cast<int>(CalmS * 1'000));
  AddedSent = AddedServed = FirstSent = FirstServed = 0;
  Record.line("requests sent from now on are judged");
  Judging = true;
  double Until = Record.seconds() + 20;
  while ((AddedSent < JudgedRequests || FirstSent < JudgedRequests) &&
         Record.seconds() < Until)
    sleepMs(20);
  Judging = false;
  Stop = true;
  for (std::thread &Consumer : Consumers)
    Consumer.join();
  double AddedShare = double(AddedServed) / std::max(1, AddedSent.load());
  double FirstShare = double(FirstServed) / std::max(1, FirstSent.load());
  Record.line("first route: " + std::to_string(FirstServed) + " of " +
              std::to_string(FirstSent) + " served; added route: " +
              std::to_string(AddedServed) + " of " + std::to_string(AddedSent));
  bool Broken = AddedSent >= 20 && AddedShare < FirstShare / 4;
  return Fleet.finish("share served on the added route " +
                          std::to_string(AddedShare) + ", on the first " +
                          std::to_string(FirstShare),
                      Broken ? 1 : 0);
}
