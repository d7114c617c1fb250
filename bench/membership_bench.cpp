// Measures the membership protocol in virtual time: traffic, convergence, false
// suspicions and processor time of N nodes, without processes or sockets.
//
// usage: build/membership_bench [NODES...]   (540 if none)

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <set>
#include <string>

#include "stand_ins/gossip_loop.h"

using namespace chivebeam;
using namespace chivebeam::stand_ins;

namespace {

constexpr std::size_t Domains = 6;
constexpr std::size_t ContactCount = 18;
constexpr std::uint64_t Seed = 20'261;
constexpr std::uint64_t FirstIncarnation = 1'000;

member_record makeRecord(std::size_t Index) {
  member_record Record;
  Record.Node = node_id("catalogo-1.0-" + std::to_string(Index));
  Record.Incarnation = incarnation(FirstIncarnation);
  Record.Domain = failure_domain("norte-" + std::to_string(Index % Domains));
  Record.Region = region_name(Index % Domains < Domains / 2 ? "norte" : "sur");
  Record.RelayPort = 7'401;
  Record.Worker = {service_name("catalogo"), version_name("1.0"), 20,
                   worker_state::ready, instant()};
  return Record;
}

std::vector<std::size_t> contacts() {
  std::vector<std::size_t> Contacts;
  for (std::size_t Index = 0; Index < ContactCount; ++Index)
    Contacts.push_back(Index);
  return Contacts;
}

double inSeconds(microseconds Duration) {
  return std::chrono::duration<double>(Duration).count();
}

/// Runs the scenarios one after the other on one fleet; prints a row for each.
class benchmark {
public:
  explicit benchmark(std::size_t NodeCount)
      : Count(NodeCount), Loop(membership_settings(), Seed) {}

  void runAll() {
    std::printf("%6s %-22s %9s %10s %10s %10s %10s %9s\n", "nodes", "scenario",
                "agree_s", "mean_KB/s", "max_KB/s", "peak_KB", "msgs/s",
                "us/s");
    join();
    idle();
    leaving();
    churn();
    replacements();
    massRestart();
    domainCut();
    loss(0.01);
    loss(0.10);
  }

private:
  void startMeasurement() {
    Loop.resetTraffic();
    Started = Loop.now();
    CpuStarted = std::chrono::steady_clock::now();
  }

  void printRow(const std::string &Name, std::optional<microseconds> Agreed,
                const std::string &Note = "") {
    double Span = std::max(1e-6, inSeconds(Loop.now() - Started));
    std::chrono::duration<double, std::micro> Cpu =
        std::chrono::steady_clock::now() - CpuStarted;
    double Total = 0;
    double Highest = 0;
    double Peak = 0;
    double Messages = 0;
    for (std::size_t Node = 0; Node < Loop.size(); ++Node) {
      const gossip_loop::traffic &Traffic = Loop.trafficOf(Node);
      auto Bytes = static_cast<double>(Traffic.Sent + Traffic.Received);
      Total += Bytes;
      Highest = std::max(Highest, Bytes);
      Peak = std::max(Peak, static_cast<double>(Traffic.PeakPerSecond));
      Messages += static_cast<double>(Traffic.Messages);
    }
    auto Nodes = static_cast<double>(Loop.size());
    std::string Time = Agreed ? std::to_string(inSeconds(*Agreed)) : "-";
    std::printf("%6zu %-22s %9.9s %10.2f %10.2f %10.1f %10.2f %9.0f  %s\n",
                Count, Name.c_str(), Time.c_str(), Total / Nodes / Span / 1024,
                Highest / Span / 1024, Peak / 1024, Messages / Nodes / Span,
                Cpu.count() / Nodes / Span, Note.c_str());
    std::fflush(stdout);
  }

  std::optional<microseconds> untilAgreed(seconds Limit) {
    return Loop.runUntil([&] { return Loop.agrees(); }, Limit);
  }

  /// Returns the number of different member tables and the range of their
  /// sizes.
  std::string describeTables() {
    std::set<std::uint64_t> Digests;
    std::size_t Smallest = Count;
    std::size_t Largest = 0;
    for (std::size_t Node = 0; Node < Loop.size(); ++Node) {
      const member_table &Table = Loop.node(Node).table();
      Digests.insert(Table.digest());
      Smallest = std::min(Smallest, Table.liveCount());
      Largest = std::max(Largest, Table.liveCount());
    }
    return std::to_string(Digests.size()) + " different tables of " +
           std::to_string(Smallest) + " to " + std::to_string(Largest) +
           " nodes";
  }

  void join() {
    startMeasurement();
    for (std::size_t Index = 0; Index < Count; ++Index)
      Loop.add(makeRecord(Index), contacts());
    auto Agreed = untilAgreed(seconds(60));
    printRow("all join at once", Agreed, describeTables());
    Loop.run(seconds(30));
  }

  void idle() {
    startMeasurement();
    Loop.run(seconds(30));
    printRow("idle", std::nullopt, describeTables());
  }

  bool allReceivedLeaving(const node_id &Node) {
    for (std::size_t Index = 0; Index < Loop.size(); ++Index) {
      const member_record *Record = Loop.node(Index).table().find(Node);
      if (Loop.running(Index) && (!Record || !Record->Leaving))
        return false;
    }
    return true;
  }

  void leaving() {
    startMeasurement();
    microseconds Worst{0};
    for (std::size_t Node = 20; Node < 25; ++Node) {
      Loop.node(Node).setLeaving(Loop.now());
      node_id Name = Loop.node(Node).self().Node;
      Worst = std::max(
          Worst,
          Loop.runUntil([&] { return allReceivedLeaving(Name); }, seconds(60))
              .value_or(seconds(60)));
      Loop.run(seconds(1));
    }
    printRow("leaving known to all", Worst, "worst of 5");
  }

  void churn() {
    startMeasurement();
    for (std::size_t Change = 0; Change < 100; ++Change) {
      std::size_t Node = (Change * 37) % Count;
      worker_record Worker = Loop.node(Node).self().Worker;
      Worker.Slots = 20 + static_cast<unsigned>(Change);
      Loop.node(Node).updateWorker(Worker, Loop.now());
      Loop.run(milliseconds(200));
    }
    printRow("5 endpoint changes/s", untilAgreed(seconds(60)));
  }

  /// Replaces one node a second. 77 replacements a day would be one every 19
  /// minutes.
  void replacements() {
    startMeasurement();
    for (std::size_t Node = 30; Node < 50; ++Node) {
      Loop.node(Node).setLeaving(Loop.now());
      Loop.run(milliseconds(500));
      Loop.restart(Node, incarnation(FirstIncarnation * 2 + Node), contacts());
      Loop.run(milliseconds(500));
    }
    printRow("1 replacement/s", untilAgreed(seconds(60)));
    Loop.run(seconds(10));
  }

  void massRestart() {
    startMeasurement();
    for (std::size_t Node = 0; Node < Count; ++Node)
      if (Node % 10 < 3)
        Loop.stop(Node);
    Loop.run(seconds(1));
    for (std::size_t Node = 0; Node < Count; ++Node)
      if (Node % 10 < 3)
        Loop.restart(Node, incarnation(FirstIncarnation * 3), contacts());
    printRow("30% die and return", untilAgreed(seconds(120)));
    Loop.run(seconds(20));
  }

  void domainCut() {
    auto IsInDomain = [](std::size_t Node) { return Node % Domains == 1; };
    Loop.setFilter([=](std::size_t From, std::size_t To) {
      return IsInDomain(From) == IsInDomain(To);
    });
    startMeasurement();
    std::size_t Smallest = Count;
    for (unsigned Second = 0; Second < 60; ++Second) {
      Loop.run(seconds(1));
      Smallest = std::min(Smallest, smallestLiveCountInDomain());
    }
    printRow(
        "domain cut for 60 s", std::nullopt,
        "smallest live count inside the domain: " + std::to_string(Smallest) +
            " of " + std::to_string(domainSize()));
    Loop.setFilter({});
    startMeasurement();
    Smallest = Count;
    auto Agreed = Loop.runUntil(
        [&] {
          Smallest = std::min(Smallest, smallestLiveCountInDomain());
          return Loop.agrees();
        },
        seconds(120));
    printRow("domain rejoins", Agreed,
             "smallest live count inside the domain: " +
                 std::to_string(Smallest));
    Loop.run(seconds(20));
  }

  std::size_t domainSize() const { return (Count + Domains - 2) / Domains; }

  std::size_t smallestLiveCountInDomain() {
    std::size_t Smallest = Count;
    for (std::size_t Node = 1; Node < Count; Node += Domains * 8) {
      std::size_t Alive = 0;
      for (const auto *Entry : Loop.node(Node).table().live())
        Alive += Entry->Record.Domain.str() == "norte-1" ? 1 : 0;
      Smallest = std::min(Smallest, Alive);
    }
    return Smallest;
  }

  membership_counts sumCounts() {
    membership_counts Sum;
    for (std::size_t Node = 0; Node < Count; ++Node) {
      const membership_counts &Counts = Loop.node(Node).counts();
      Sum.Suspected += Counts.Suspected;
      Sum.Dead += Counts.Dead;
      Sum.Pulls += Counts.Pulls;
    }
    return Sum;
  }

  void loss(double Share) {
    Loop.quality().Loss = Share;
    membership_counts Before = sumCounts();
    startMeasurement();
    Loop.run(seconds(60));
    membership_counts After = sumCounts();
    printRow("60 s at " + std::to_string(static_cast<int>(Share * 100)) +
                 "% loss",
             std::nullopt,
             "suspected " + std::to_string(After.Suspected - Before.Suspected) +
                 ", declared dead " + std::to_string(After.Dead - Before.Dead) +
                 ", pulls " + std::to_string(After.Pulls - Before.Pulls));
    Loop.quality().Loss = 0;
    Loop.run(seconds(10));
  }

  std::size_t Count;
  gossip_loop Loop;
  instant Started;
  std::chrono::steady_clock::time_point CpuStarted;
};

} // namespace

int main(int Count, char **Arguments) {
  std::vector<std::size_t> Sizes;
  for (int Index = 1; Index < Count; ++Index)
    Sizes.push_back(std::strtoul(Arguments[Index], nullptr, 10));
  if (Sizes.empty())
    Sizes.push_back(540);
  for (std::size_t Size : Sizes)
    benchmark(Size).runAll();
  return 0;
}
