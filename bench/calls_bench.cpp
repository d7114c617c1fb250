// Measures calls through node processes on loopback and compares them with
// direct calls and with a round-robin policy on the same path. Prints tables.
// usage: calls_bench latency|chain|overload|outage [folder of the binaries]

#include <cstdio>
#include <cstring>

#include <boost/asio/executor_work_guard.hpp>

#include "bench_fleet.h"
#include "bench_worker.h"
#include "load_generator.h"

using namespace chivebeam;
using namespace chivebeam::bench;

namespace {

constexpr seconds MeasuringTime{5};
constexpr unsigned ManySlots = 100;
constexpr unsigned FleetSize = 5;

/// Runs the backend servers of a fleet on one thread.
class worker_thread {
public:
  ~worker_thread() {
    Context.stop();
    Thread.join();
  }
  bench_worker &add(worker_behaviour Behaviour) {
    Workers.push_back(std::make_unique<bench_worker>(Context, Behaviour));
    return *Workers.back();
  }
  void start() {
    Thread = std::thread([this] {
      auto Guard = asio::make_work_guard(Context);
      Context.run();
    });
  }
  std::vector<std::unique_ptr<bench_worker>> &workers() { return Workers; }
  std::uint64_t requests() const {
    std::uint64_t Sum = 0;
    for (const auto &Worker : Workers)
      Sum += Worker->requests();
    return Sum;
  }

private:
  asio::io_context Context{1};
  std::vector<std::unique_ptr<bench_worker>> Workers;
  std::thread Thread;
};

/// Waits until a call through the fleet succeeds, and 2 s more so that all
/// nodes know each other.
void awaitFleetReady(const std::vector<address> &Entries) {
  for (int Try = 0; Try < 100; ++Try) {
    load_generator Probe(Entries, "/desk/x");
    if (Probe.runClosedLoop(1, seconds(1)).Good > 0)
      break;
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
}

void printLatency(const char *Name, double Rate, load_result Direct,
                  load_result Through) {
  std::printf("%-10s %8.0f", Name, Rate);
  for (double Share : {0.5, 0.99, 0.999})
    std::printf(" %8.3f %8.3f %8.3f", Direct.quantile(Share),
                Through.quantile(Share),
                Through.quantile(Share) - Direct.quantile(Share));
  std::printf(" %7llu\n",
              static_cast<unsigned long long>(Through.Offered - Through.Good));
}

void printLatencyHead() {
  std::printf("%-10s %8s %26s %26s %26s\n", "load", "calls/s",
              "p50 ms direct/through/add", "p99 ms direct/through/add",
              "p99.9 ms direct/through/add");
}

void measureLatency(const std::string &Bin) {
  worker_thread Workers;
  bench_worker &Worker =
      Workers.add({ManySlots, ManySlots, microseconds(0), false, false});
  bench_fleet Fleet(Bin, "balanced");
  bench_fleet::node Entry = Fleet.addNode("entry");
  bench_fleet::node Home = Fleet.addNode("home");
  Worker.announceTo(Home.Control);
  Workers.start();
  awaitFleetReady({Entry.Traffic});
  load_generator Through({Entry.Traffic}, "/desk/x");
  load_generator Direct({Worker.bound()}, "/desk/x");
  double Before = processorSeconds(Entry.Pid);
  double HomeBefore = processorSeconds(Home.Pid);
  load_result HighestLoad = Through.runClosedLoop(32, MeasuringTime);
  double Calls = static_cast<double>(HighestLoad.Good);
  std::printf("closed loop, 32 callers: %.0f calls/s; a core of the entry node "
              "carries %.0f calls/s, of the home node %.0f\n",
              HighestLoad.goodput(),
              Calls / (processorSeconds(Entry.Pid) - Before),
              Calls / (processorSeconds(Home.Pid) - HomeBefore));
  printLatencyHead();
  for (int Percent : {20, 50, 80}) {
    double Rate = HighestLoad.goodput() * Percent / 100;
    std::string Name = std::to_string(Percent) + "%";
    printLatency(Name.c_str(), Rate, Direct.runOpenLoop(Rate, MeasuringTime),
                 Through.runOpenLoop(Rate, MeasuringTime));
  }
}

void measureChain(const std::string &Bin) {
  worker_thread Workers;
  bench_fleet Fleet(Bin, "balanced");
  std::vector<bench_fleet::node> Nodes;
  for (unsigned Index = 0; Index < 3; ++Index) {
    Nodes.push_back(Fleet.addNode("node" + std::to_string(Index)));
    bench_worker &Worker =
        Workers.add({ManySlots, ManySlots, microseconds(0), false, false});
    Worker.announceTo(Nodes[Index].Control);
    Worker.forwardTo(Nodes[Index].Traffic);
  }
  // A second set of servers calls each other directly, without nodes.
  for (unsigned Index = 0; Index < 3; ++Index)
    Workers.add({ManySlots, ManySlots, microseconds(0), false, false});
  for (unsigned Index = 0; Index < 3; ++Index)
    Workers.workers()[3 + Index]->forwardTo(
        Workers.workers()[3 + (Index + 1) % 3]->bound());
  Workers.start();
  awaitFleetReady({Nodes[0].Traffic, Nodes[1].Traffic, Nodes[2].Traffic});
  load_generator Direct({Workers.workers()[3]->bound()}, "/desk/chain/12");
  load_generator Through({Nodes[0].Traffic}, "/desk/chain/12");
  printLatencyHead();
  for (double Rate : {10.0, 50.0})
    printLatency("12 deep", Rate, Direct.runOpenLoop(Rate, MeasuringTime),
                 Through.runOpenLoop(Rate, MeasuringTime));
}

/// Two good servers, one that is ten times slower, one that fails at once and
/// one that announces four times the calls that it runs at once.
std::vector<worker_behaviour> mixedBehaviours() {
  constexpr milliseconds ServiceTime{20};
  return {{4, 4, ServiceTime, false, false},
          {4, 4, ServiceTime, false, false},
          {4, 4, ServiceTime * 10, false, false},
          {4, 4, ServiceTime, true, false},
          {16, 4, ServiceTime, false, false}};
}
constexpr double MixedCapacity = 620; // 3.1 servers of 4 slots at 20 ms

struct fleet_under_load {
  fleet_under_load(const std::string &Bin, const std::string &Policy,
                   const std::vector<worker_behaviour> &Behaviours)
      : Fleet(Bin, Policy) {
    for (unsigned Index = 0; Index < FleetSize; ++Index) {
      Nodes.push_back(Fleet.addNode("node" + std::to_string(Index)));
      Entries.push_back(Nodes.back().Traffic);
      Workers.add(Behaviours[Index]).announceTo(Nodes.back().Control);
    }
    Workers.start();
    awaitFleetReady(Entries);
  }

  worker_thread Workers;
  bench_fleet Fleet;
  std::vector<bench_fleet::node> Nodes;
  std::vector<address> Entries;
};

void measureOverload(const std::string &Bin) {
  std::printf("%-12s %6s %9s %9s %9s %9s %9s %9s\n", "policy", "load",
              "offered/s", "good/s", "p50 ms", "p99 ms", "not-run/s",
              "other/s");
  for (const char *Policy : {"balanced", "round_robin"}) {
    fleet_under_load Load(Bin, Policy, mixedBehaviours());
    std::this_thread::sleep_for(
        std::chrono::seconds(8)); // waits until slow start has ended
    load_generator Generator(Load.Entries, "/desk/x");
    for (double Factor : {0.5, 1.0, 2.0, 5.0}) {
      load_result Result =
          Generator.runOpenLoop(MixedCapacity * Factor, MeasuringTime);
      std::printf("%-12s %5.1fx %9.0f %9.0f %9.1f %9.1f %9.0f %9.0f\n", Policy,
                  Factor, static_cast<double>(Result.Offered) / Result.Seconds,
                  Result.goodput(), Result.quantile(0.5), Result.quantile(0.99),
                  static_cast<double>(Result.NotRun) / Result.Seconds,
                  static_cast<double>(Result.Other) / Result.Seconds);
    }
  }
}

void measureOutage(const std::string &Bin) {
  std::printf("%-24s %9s %9s %9s\n", "outage", "calls", "attempts", "ratio");
  worker_behaviour Failing{6, 6, microseconds(0), true, false};
  worker_behaviour Resetting{6, 6, microseconds(0), false, true};
  const std::pair<const char *, worker_behaviour> Kinds[] = {
      {"all answer 503", Failing}, {"all reset", Resetting}};
  for (const auto &[Name, Fault] : Kinds) {
    std::vector<worker_behaviour> Behaviours(FleetSize, worker_behaviour());
    fleet_under_load Load(Bin, "balanced", Behaviours);
    load_generator Generator(Load.Entries, "/desk/x");
    Generator.runOpenLoop(200, seconds(2)); // fills the retry budgets
    for (auto &Worker : Load.Workers.workers())
      Worker->setBehaviour(Fault);
    std::uint64_t Before = Load.Workers.requests();
    load_result Result = Generator.runOpenLoop(400, MeasuringTime);
    auto Attempts = static_cast<double>(Load.Workers.requests() - Before);
    std::printf("%-24s %9llu %9.0f %9.3f\n", Name,
                static_cast<unsigned long long>(Result.Offered), Attempts,
                Attempts / static_cast<double>(Result.Offered));
  }
}

} // namespace

int main(int Count, char **Arguments) {
  std::string Measurement = Count > 1 ? Arguments[1] : "";
  std::string Bin = Count > 2 ? Arguments[2] : "build";
  ::signal(SIGPIPE, SIG_IGN);
  if (Measurement == "latency")
    measureLatency(Bin);
  else if (Measurement == "chain")
    measureChain(Bin);
  else if (Measurement == "overload")
    measureOverload(Bin);
  else if (Measurement == "outage")
    measureOutage(Bin);
  else {
    std::printf("usage: calls_bench latency|chain|overload|outage [folder of "
                "the binaries]\n");
    return 2;
  }
  return 0;
}
