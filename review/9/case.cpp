// A backend server says that it leaves while the store is down, and is
// acknowledged. Later all processes are killed and start again, while the
// server still serves. Payments come in bursts; each takes 0.21 s.
#include "../stand_ins_2/fleet.h"

using namespace review;

namespace {

constexpr double DrainS = 2;           // bound drainS
constexpr double StabilityWindowS = 3; // bound stabilityWindowS
constexpr int BurstSize = 24;          // payments, over three machines

} // namespace

int main(int, char **Arguments) {
  recorder Record(Arguments[1]);
  fleet Fleet(Record, Arguments[2], Arguments[3]);
  store Store(Fleet.storeAddress());
  const std::vector<std::string> Names{"sidecar-a-1", "sidecar-b-1",
                                       "sidecar-c-1"};
  const machine &A = Fleet.add(Names[0], "zone-a", "desk");
  const machine &B = Fleet.add(Names[1], "zone-b", "desk");
  const machine &C = Fleet.add(Names[2], "zone-c", "desk");
  Store.put("op/config", configText(7, {"desk"},
                                    {{"r-pay", "desk.example", "/pay/",
                                      "unsafe", "desk"}}));
  worker WorkerA(Record, A, "i-a1", "desk");
  worker WorkerB(Record, B, "i-b1", "desk");
  worker WorkerC(Record, C, "i-c1", "desk");
  std::vector<worker *> Workers{&WorkerA, &WorkerB, &WorkerC};
  for (worker *Worker : Workers)
    Worker->RunTime = milliseconds(210);
  for (const std::string &Name : Names)
    Fleet.start(Name, true);
  if (!Fleet.waitReady(milliseconds(15'000)))
    return Fleet.finish("the nodes are not ready", 2);
  for (worker *Worker : Workers)
    Worker->startReports();
  sleepMs(5'000);
  auto SendBurst = [&] {
    std::atomic<int> Served{0};
    std::vector<std::thread> Consumers;
    for (int Number = 0; Number < BurstSize; ++Number)
      Consumers.emplace_back([&, Number] {
        const machine &At =
            *std::vector<const machine *>{&A, &B, &C}[Number % 3];
        Served += request(Record, At, "POST", "desk.example",
                          "/pay/" + std::to_string(Number), newId(), "amount=1",
                          4'000)
                      .Status == 200;
      });
    for (std::thread &Consumer : Consumers)
      Consumer.join();
    return Served.load();
  };
  if (SendBurst() == 0)
    return Fleet.finish("requests before the trouble were not served", 2);

  if (withTrouble()) {
    Record.line("the store is down");
    Store.setDown(true);
    sleepMs(1'000);
  }
  WorkerA.stopReports();
  if (!WorkerA.deregister())
    return Fleet.finish("the leave notice was not acknowledged", 2);
  double AcknowledgedAt = Record.seconds();
  if (withTrouble()) {
    sleepMs(1'500);
    Store.setDown(false);
    Record.line("the store is back");
  }
  sleepMs(1'500);
  if (withTrouble()) {
    for (const std::string &Name : Names)
      Fleet.kill(Name);
    sleepMs(600);
    for (const std::string &Name : Names)
      Fleet.start(Name, false);
  }
  double StartedAt = Record.seconds();
  if (!Fleet.waitReady(milliseconds(10'000)))
    return Fleet.finish("the nodes are not ready again", 2);
  while (Record.seconds() < StartedAt + StabilityWindowS + 0.5)
    sleepMs(50);
  double JudgedFrom = std::max(AcknowledgedAt + DrainS,
                               StartedAt + StabilityWindowS);
  Record.line("requests sent from now on are judged");
  for (int Burst = 0; Burst < 3; ++Burst) {
    Record.line("served " + std::to_string(SendBurst()) + " of " +
                std::to_string(BurstSize));
    sleepMs(1'000);
  }
  int Late = 0;
  for (const arrival &Arrival : WorkerA.arrivals())
    Late += Arrival.Ran && Arrival.At > JudgedFrom ? 1 : 0;
  return Fleet.finish("payments that reached i-a1 more than drainS after the "
                      "acknowledgement: " +
                          std::to_string(Late),
                      Late > 0 ? 1 : 0);
}
