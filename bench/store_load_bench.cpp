// Measures in virtual time how many calls a second a fleet makes to the
// platform's store, depending on its size: call budget, poll intervals, watcher
// leases and their keep-alives. A pending watch counts as one read a second.

#include <algorithm>
#include <cstdio>
#include <queue>
#include <string>
#include <vector>

#include "config/store_rate_limiter.h"

using namespace chivebeam;

namespace {

constexpr std::size_t Domains = 6;
constexpr std::size_t WatchersPerDomain = 3;
constexpr seconds WatcherLeaseDuration{9};
constexpr seconds KeepAliveInterval{3};
constexpr seconds SizeKnownAfter{2}; ///< until membership knows it
constexpr double PlatformReads = 2'000;
constexpr double PlatformWrites = 300;

const instant Start{seconds(1'000)};

/// Number of calls in each second of a run.
struct load {
  std::vector<unsigned> Reads;
  std::vector<unsigned> Writes;

  explicit load(std::size_t Seconds) : Reads(Seconds), Writes(Seconds) {}
  void count(store_call Call, instant When) {
    auto Second = static_cast<std::size_t>((When - Start) / seconds(1));
    if (Second < Reads.size())
      ++(Call == store_call::read ? Reads : Writes)[Second];
  }
};

struct scenario {
  std::string Name;
  bool Running = false;        ///< nodes already run and know the fleet size
  seconds DownFrom{0};         ///< start of the store outage
  seconds DownUntil{0};        ///< end of the store outage
  microseconds SpreadStart{0}; ///< length of the interval of starts
  bool NewSource = false;      ///< no node has read the source yet
};

struct node_state {
  explicit node_state(std::uint64_t Seed) : RateLimiter(Seed) {}

  store_rate_limiter RateLimiter;
  std::size_t Domain = 0;
  bool HoldsWatcherLease = false;
  bool HasSource = false;
  instant SizeKnownAt;
};

class fleet_run {
public:
  fleet_run(std::size_t Nodes, const scenario &Scenario, seconds Length)
      : Scenario(Scenario), Ends(Start + Length),
        Load(static_cast<std::size_t>(Length.count())),
        LeasesFreeAt(Domains * WatchersPerDomain, Start) {
    for (std::size_t Index = 0; Index < Nodes; ++Index)
      addNode(Index, Nodes);
  }

  const load &run() {
    while (!Steps.empty() && Steps.top().When < Ends) {
      step Step = Steps.top();
      Steps.pop();
      runStep(Step.Node, Step.When);
    }
    return Load;
  }

private:
  struct step {
    instant When;
    std::size_t Node;
    bool operator<(const step &Other) const { return When > Other.When; }
  };

  void addNode(std::size_t Index, std::size_t Count) {
    node_state Node(Index * 7919 + 1);
    Node.Domain = Index % Domains;
    Node.HasSource = !Scenario.NewSource;
    Node.SizeKnownAt = Start + (Scenario.Running ? seconds(0) : SizeKnownAfter);
    random_source Random(Index + 1);
    microseconds Delay = Scenario.Running ? Node.RateLimiter.pollDelay()
                                          : Node.RateLimiter.firstDelay();
    if (Scenario.Running) {
      Node.RateLimiter.setFleetSize(Count, Start);
      Delay = Node.RateLimiter.pollDelay();
    }
    if (Scenario.SpreadStart > microseconds(0))
      Delay += microseconds(static_cast<std::int64_t>(Random.below(
          static_cast<std::uint64_t>(Scenario.SpreadStart.count()))));
    NodeCount = Count;
    Nodes.push_back(Node);
    Steps.push({Start + Delay, Index});
  }

  bool isDown(instant When) const {
    return When >= Start + Scenario.DownFrom &&
           When < Start + Scenario.DownUntil;
  }

  /// Counts one call at the time the call budget allows; returns that time.
  instant call(node_state &Node, store_call Call, instant When) {
    instant CallTime = When + Node.RateLimiter.reserve(Call, When);
    Load.count(Call, CallTime);
    return CallTime;
  }

  void runStep(std::size_t Index, instant When) {
    node_state &Node = Nodes[Index];
    if (When >= Node.SizeKnownAt)
      Node.RateLimiter.setFleetSize(NodeCount, When);
    if (Node.HoldsWatcherLease)
      runWatcher(Index, When);
    else
      poll(Index, When);
  }

  void poll(std::size_t Index, instant When) {
    node_state &Node = Nodes[Index];
    When = call(Node, store_call::read, When);
    if (isDown(When)) {
      Node.RateLimiter.recordFailure();
      Steps.push({When + Node.RateLimiter.pollDelay(), Index});
      return;
    }
    Node.RateLimiter.recordSuccess();
    if (!Node.HasSource)
      When = call(Node, store_call::read, When);
    Node.HasSource = true;
    if (tryAcquireWatcherLease(Node, When))
      Steps.push({When, Index});
    else
      Steps.push({When + Node.RateLimiter.pollDelay(), Index});
  }

  bool tryAcquireWatcherLease(node_state &Node, instant When) {
    auto First = LeasesFreeAt.begin() +
                 static_cast<std::ptrdiff_t>(Node.Domain * WatchersPerDomain);
    auto IsFree = [When](instant FreeAt) { return FreeAt <= When; };
    auto Free = static_cast<std::size_t>(
        std::count_if(First, First + WatchersPerDomain, IsFree));
    if (!Node.RateLimiter.shouldTryWatcherLease(Free, NodeCount / Domains))
      return false;
    When = call(Node, store_call::write, When);
    When = call(Node, store_call::write, When);
    auto WatcherLease = std::find_if(First, First + WatchersPerDomain, IsFree);
    if (WatcherLease == First + WatchersPerDomain)
      return false;
    *WatcherLease = Ends; // held until the run ends or the lease is lost
    Node.HoldsWatcherLease = true;
    Node.RateLimiter.setWatcherLeaseHeld(true, When);
    return true;
  }

  /// Counts the keep-alive, the read of verdicts and the pending watch of one
  /// keep-alive interval.
  void runWatcher(std::size_t Index, instant When) {
    node_state &Node = Nodes[Index];
    instant CallTime = call(Node, store_call::write, When);
    if (isDown(CallTime)) {
      endWatcherLease(Node, CallTime);
      Steps.push({CallTime + Node.RateLimiter.pollDelay(), Index});
      return;
    }
    call(Node, store_call::read, CallTime);
    for (instant Second = When; Second < When + KeepAliveInterval;
         Second += seconds(1))
      Load.count(store_call::read, Second);
    Steps.push({When + KeepAliveInterval, Index});
  }

  void endWatcherLease(node_state &Node, instant When) {
    Node.HoldsWatcherLease = false;
    Node.RateLimiter.setWatcherLeaseHeld(false, When);
    Node.RateLimiter.recordFailure();
    auto First = LeasesFreeAt.begin() +
                 static_cast<std::ptrdiff_t>(Node.Domain * WatchersPerDomain);
    auto Held = std::find(First, First + WatchersPerDomain, Ends);
    if (Held != First + WatchersPerDomain)
      *Held = When + WatcherLeaseDuration;
  }

  scenario Scenario;
  instant Ends;
  load Load;
  std::vector<instant> LeasesFreeAt;
  std::vector<node_state> Nodes;
  std::size_t NodeCount = 0;
  std::priority_queue<step> Steps;
};

struct call_statistics {
  double Mean = 0;
  unsigned Highest = 0;
};

call_statistics summarize(const std::vector<unsigned> &Counts) {
  call_statistics Statistics;
  for (unsigned Count : Counts) {
    Statistics.Mean += Count;
    Statistics.Highest = std::max(Statistics.Highest, Count);
  }
  Statistics.Mean /= static_cast<double>(Counts.size());
  return Statistics;
}

void printRow(const scenario &Scenario, std::size_t Nodes) {
  constexpr seconds Length{180};
  fleet_run Run(Nodes, Scenario, Length);
  const load &Load = Run.run();
  call_statistics Reads = summarize(Load.Reads);
  call_statistics Writes = summarize(Load.Writes);
  std::printf("%-28s %6zu %10.1f %9u %6.0f%% %10.1f %9u %6.0f%%\n",
              Scenario.Name.c_str(), Nodes, Reads.Mean, Reads.Highest,
              100 * Reads.Highest / PlatformReads, Writes.Mean, Writes.Highest,
              100 * Writes.Highest / PlatformWrites);
}

} // namespace

int main() {
  const std::vector<scenario> Scenarios = {
      {"healthy", true, {}, {}, {}, false},
      {"outage 30 s to 90 s", true, seconds(30), seconds(90), {}, true},
      {"all start at once", false, {}, {}, {}, true},
      {"all start in an outage, 60 s",
       false,
       seconds(0),
       seconds(60),
       {},
       true},
  };
  std::printf("%-28s %6s %10s %9s %7s %10s %9s %7s\n", "scenario", "nodes",
              "reads/s", "highest", "share", "writes/s", "highest", "share");
  for (const scenario &Scenario : Scenarios)
    for (std::size_t Nodes : {12, 50, 100, 200, 540, 1'000})
      printRow(Scenario, Nodes);
}
