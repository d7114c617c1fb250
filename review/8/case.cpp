// A rollout is completed, and the old servers are stopped. Later the store
// comes back from a copy some seconds old. After that one node is stopped and
// started again, as planned work.
#include "../stand_ins_2/fleet.h"

using namespace review;

namespace {

constexpr int DurationS = 14; // of the rollout
constexpr int JudgedRequests = 60;

std::string orderText(const std::string &Service, const std::string &Version) {
  return "{\"service\":\"" + Service + "\",\"targetVersion\":\"" + Version +
         "\",\"durationS\":" + std::to_string(DurationS) + "}";
}

} // namespace

int main(int, char **Arguments) {
  recorder Record(Arguments[1]);
  fleet Fleet(Record, Arguments[2], Arguments[3]);
  store Store(Fleet.storeAddress());
  struct place {
    const char *Name, *Zone, *Service, *Version;
  };
  const std::vector<place> Places{
      {"sidecar-a-1", "zone-a", "desk", "v1"},
      {"sidecar-b-1", "zone-b", "desk", "v1"},
      {"sidecar-a-2", "zone-a", "desk", "v2"},
      {"sidecar-b-2", "zone-b", "desk", "v2"},
      {"sidecar-a-3", "zone-a", "shop", "v1"},
      {"sidecar-b-3", "zone-b", "shop", "v1"}};
  std::map<std::string, std::unique_ptr<worker>> Workers;
  for (const place &Place : Places)
    Fleet.add(Place.Name, Place.Zone, Place.Service);
  auto StartMachine = [&](const place &Place, bool FirstStart) {
    Workers[Place.Name] = std::make_unique<worker>(
        Record, Fleet.of(Place.Name), std::string("i-") + Place.Name,
        Place.Service, Place.Version);
    Fleet.start(Place.Name, FirstStart);
  };
  const route First{"r-shop", "desk.example", "/shop/", "safe", "shop"};
  const route Added{"r-desk", "desk.example", "/desk/", "safe", "desk"};
  Store.put("op/config", configText(7, {"desk", "shop"}, {First}));
  for (const place &Place : Places)
    if (std::string(Place.Version) == "v1")
      StartMachine(Place, true);
  if (!Fleet.waitReady(milliseconds(15'000)))
    return Fleet.finish("the nodes are not ready", 2);
  for (auto &[Name, Worker] : Workers)
    Worker->startReports();
  sleepMs(3'000);
  Store.put("op/config", configText(8, {"desk", "shop"}, {First, Added}));
  Record.line("a configuration adds the route /desk/");
  sleepMs(2'500);

  std::atomic<bool> Stop{false}, Judging{false};
  std::atomic<int> Sent[2]{}, Served[2]{};
  std::vector<std::thread> Consumers;
  for (int Consumer = 0; Consumer < 8; ++Consumer)
    Consumers.emplace_back([&, Consumer] {
      const machine &At =
          Fleet.of(Consumer % 4 < 2 ? "sidecar-a-3" : "sidecar-b-3");
      int Kind = Consumer % 2;
      for (int Number = 0; !Stop; ++Number) {
        bool Counts = Judging;
        outcome Outcome =
            request(Record, At, "GET", "desk.example",
                    (Kind == 0 ? "/shop/" : "/desk/") +
                        std::to_string(Consumer) + "-" + std::to_string(Number),
                    newId(), "", 2'000);
        if (Counts) {
          ++Sent[Kind];
          Served[Kind] += Outcome.Status == 200;
        }
        sleepMs(40);
      }
    });
  auto State = [&] { return Store.value("status/rollout/desk"); };
  auto IsState = [&](const char *Name) {
    return State().find(Name) != std::string::npos;
  };
  for (const place &Place : Places)
    if (std::string(Place.Version) == "v2")
      StartMachine(Place, false);
  sleepMs(1'000);
  for (const place &Place : Places)
    Workers[Place.Name]->startReports();
  Store.put("op/rollout/desk", orderText("desk", "v2"));
  Record.line("a rollout of desk to v2 is ordered");
  double Until = Record.seconds() + DurationS + 3;
  while (!IsState("completed") && Record.seconds() < Until)
    sleepMs(50);
  Record.line("status of the rollout: " + State());
  if (!IsState("completed"))
    return Fleet.finish("the rollout was not completed", 2);
  for (const char *Name : {"sidecar-a-1", "sidecar-b-1"}) {
    Workers[Name]->stopReports();
    Workers[Name]->crash();
    Fleet.stop(Name);
  }
  Record.line("the old servers are stopped, their machines leave");
  sleepMs(3'000);

  if (withTrouble()) {
    Store.saveCopy();
    sleepMs(3'000);
    Record.line("the store is away");
    Store.setDown(true);
    sleepMs(1'000);
    Store.restoreCopy();
    Store.setDown(false);
    Record.line("the store is back from a copy 3 s old");
    sleepMs(6'000);
  } else {
    sleepMs(10'000);
  }
  Fleet.stop("sidecar-a-2");
  sleepMs(500);
  Fleet.start("sidecar-a-2", false);
  // More than stabilityWindowS after the last disruption.
  sleepMs(4'000);
  Record.line("requests sent from now on are judged");
  Judging = true;
  Until = Record.seconds() + 20;
  while ((Sent[0] < JudgedRequests || Sent[1] < JudgedRequests) &&
         Record.seconds() < Until)
    sleepMs(20);
  Judging = false;
  Record.line("status of the rollout: " + State());
  Record.line("first route: " + std::to_string(Served[0]) + " of " +
              std::to_string(Sent[0]) + " served; added route: " +
              std::to_string(Served[1]) + " of " + std::to_string(Sent[1]));
  double FirstShare = double(Served[0]) / std::max(1, Sent[0].load());
  double AddedShare = double(Served[1]) / std::max(1, Sent[1].load());
  Stop = true;
  for (std::thread &Consumer : Consumers)
    Consumer.join();
  return Fleet.finish("share served on the added route " +
                          std::to_string(AddedShare) + ", on the first " +
                          std::to_string(FirstShare),
                      Sent[1] >= 20 && AddedShare < FirstShare / 4 ? 1 : 0);
}
