// Simulates many moves in virtual time and prints the verdicts and the affected
// calls for each kind of new version. Seeds are fixed.
//
// usage: moves_bench [--runs N] [--threads N] [--only TEXT] [--minutes M]
//        [--traffic high|low] [--policy shipped|threshold|health]
//        [--reasons]
//        moves_bench --brakes [--runs N] [--threads N]

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstring>
#include <map>
#include <thread>

#include "move_simulation.h"
#include "moves/local_circuit_breaker.h"
#include "moves/warm_up.h"

using namespace chivebeam;
using namespace chivebeam::bench;

namespace {

constexpr double HighTraffic = 2'000; ///< calls a second
constexpr double LowTraffic = 5;
/// Nodes send reports every 250 ms; the next tick reads them.
constexpr double FineTickSeconds = 0.25;
/// For this time after a change of the share, ticks last FineTickSeconds.
constexpr double FineSeconds = 15;
constexpr double CoarseTicks = 300;
constexpr double MaxCoarseTickSeconds = 2;
/// Ticks also last FineTickSeconds while more than one in this many calls of
/// the new version fails.
constexpr std::uint64_t FineFailureDivisor = 50;
/// Time until a take-back has reached every node. Gossip rounds take up to 50
/// ms and reach 4 peers from each node: 2 rounds for 15 nodes, 5 for 540.
constexpr double SmallFleetSpreadSeconds = 0.15;
constexpr double LargeFleetSpreadSeconds = 0.4;
constexpr std::int64_t StartSecond = 1'800'000'000;
constexpr double SettleSeconds = 5; ///< traffic before the start

struct options {
  unsigned Runs = 1'000;
  unsigned Threads = 3;
  std::string Only;
  std::string Policy;
  std::string Traffic;
  unsigned Minutes = 0;
  bool Reasons = false;
  bool CircuitBreakers = false;
};

struct run_result {
  move_verdict Verdict = move_verdict::none;
  double DecidedAt = 0; ///< seconds after the start
  double FirstFaultAt = -1;
  double ShareZeroAt = -1;
  double BadCalls = 0;
  double NewCalls = 0;
  double Calls = 0; ///< of the service from the start to the deadline
  std::string Reason;
};

behaviour baseline(const moment &) { return {0.001, 1}; }

std::function<behaviour(const moment &)> failing(double Rate) {
  return [Rate](const moment &) { return behaviour{Rate + 0.001, 1}; };
}

std::function<behaviour(const moment &)> slow(double Factor) {
  return [Factor](const moment &) { return behaviour{0.001, Factor}; };
}

/// A dependency of both versions that, for a tenth of the time, in bursts,
/// fails 5% of the calls and makes calls take three times as long.
behaviour noisyDependency(const moment &Now) {
  bool Burst =
      std::fmod(Now.Seconds, 60) >= 27 && std::fmod(Now.Seconds, 60) < 33;
  return Burst ? behaviour{0.05, 3} : behaviour{0, 1};
}

std::vector<scenario> allScenarios() {
  std::vector<scenario> All;
  auto Add = [&](std::string Name, bool Good,
                 std::function<behaviour(const moment &)> New) {
    scenario NewScenario;
    NewScenario.Name = std::move(Name);
    NewScenario.Good = Good;
    NewScenario.New = std::move(New);
    All.push_back(std::move(NewScenario));
  };
  Add("good, quiet", true, baseline);
  Add("good, noisy dependency", true, baseline);
  All.back().Both = noisyDependency;
  Add("good, 540 nodes", true, baseline);
  All.back().Nodes = 540;
  Add("good, callee's move bad", true, baseline);
  All.back().Both = [](const moment &Now) {
    return behaviour{Now.Seconds > Now.MoveSeconds * 0.2 &&
                             Now.Seconds < Now.MoveSeconds * 0.2 + 4
                         ? 0.02
                         : 0.0,
                     1};
  };
  Add("good, cold start", true, [](const moment &Now) {
    return behaviour{0.001, Now.Seconds < 8 ? 5.0 : 1.0};
  });
  Add("failing 100%", false, failing(1));
  Add("failing 20%", false, failing(0.2));
  Add("failing 5%", false, failing(0.05));
  Add("failing 1%", false, failing(0.01));
  Add("slow x2", false, slow(2));
  Add("slow x5", false, slow(5));
  Add("one route failing 20%", false, [](const moment &Now) {
    return behaviour{Now.Route == 1 ? 0.2 : 0.001, 1};
  });
  Add("late onset 20%", false, [](const moment &Now) {
    return behaviour{Now.Seconds > Now.MoveSeconds * 0.75 ? 0.2 : 0.001, 1};
  });
  Add("load-dependent 20%", false, [](const moment &Now) {
    return behaviour{Now.Share > 0.4 ? 0.2 : 0.001, 1};
  });
  Add("lying health 20%", false, failing(0.2));
  All.back().HealthAlwaysOk = true;
  Add("too few workers", false, baseline);
  All.back().NewWorkers = 2;
  return All;
}

/// Simulates one move from before its start to its verdict.
class simulated_move {
public:
  simulated_move(const scenario &MoveScenario, double CallRate,
                 double DurationSeconds, std::uint64_t Seed)
      : Scenario(MoveScenario), Rate(CallRate), MoveSeconds(DurationSeconds),
        Source(Seed) {}

  run_result run(move_policy &Policy) {
    double Time = -SettleSeconds;
    double FineUntil = 0;
    unsigned Before = 0;
    while (Result.Verdict == move_verdict::none && Time < MoveSeconds + 60) {
      policy_state State = Policy.tick(viewAt(Time));
      if (State.Share != Before)
        FineUntil = Time + FineSeconds;
      if (State.Share < Before)
        runCallsDuringSpread(Before, Time);
      Before = State.Share;
      if (State.Decided != move_verdict::none) {
        finish(State, Time);
        break;
      }
      double Step =
          Time < FineUntil || failuresRose()
              ? FineTickSeconds
              : std::min(MaxCoarseTickSeconds, MoveSeconds / CoarseTicks);
      Reported = Counted;
      runCalls(State.Share, Time, Step);
      Time += Step;
    }
    Result.Calls = Rate * MoveSeconds;
    return Result;
  }

  static move_rule rule(double DurationSeconds) {
    move_rule Rule;
    Rule.Id = move_id("bench");
    Rule.Service = service_name("service");
    Rule.From = version_name("1");
    Rule.To = version_name("2");
    Rule.Start = at(0);
    Rule.Deadline = at(DurationSeconds);
    return Rule;
  }

private:
  static instant at(double Time) {
    return instant(microseconds(StartSecond * 1'000'000 +
                                static_cast<std::int64_t>(Time * 1e6)));
  }

  policy_view viewAt(double Time) const {
    policy_view View;
    View.Old = Reported.Old;
    View.New = Reported.New;
    View.NewWorkers = Scenario.NewWorkers;
    View.HealthOk = Scenario.HealthAlwaysOk || !isUnhealthy();
    View.Now = at(Time);
    return View;
  }

  /// Health endpoints report an error only if at least half of the calls fail.
  bool isUnhealthy() const {
    route_evidence New = totalOf(Reported.New);
    return New.Calls >= 20 && New.Failures * 2 >= New.Calls;
  }

  bool failuresRose() const {
    route_evidence Newer = totalOf(Counted.New);
    Newer.subtract(totalOf(Reported.New));
    return Newer.Failures * FineFailureDivisor > Newer.Calls;
  }

  behaviour behaviourOf(bool IsNew, const moment &Now) const {
    behaviour How = IsNew ? Scenario.New(Now) : baseline(Now);
    if (Scenario.Both) {
      behaviour Extra = Scenario.Both(Now);
      How.FailureRate += Extra.FailureRate;
      How.SlowFactor *= Extra.SlowFactor;
    }
    return How;
  }

  /// Runs the calls of Step seconds at the given share.
  void runCalls(unsigned Share, double Time, double Step) {
    for (std::size_t Route = 0; Route < RouteCount; ++Route) {
      moment Now{Time, MoveSeconds, Share / 10'000.0, Route};
      double Mean = Rate * RouteShare[Route] * Step;
      addCalls(false, Route, Mean * (1 - Now.Share), Now, Time);
      addCalls(true, Route, Mean * Now.Share, Now, Time);
    }
  }

  void addCalls(bool IsNew, std::size_t Route, double Mean, const moment &Now,
                double Time) {
    evidence_by_route &Routes = IsNew ? Counted.New : Counted.Old;
    route_evidence &Evidence = Routes[Names[Route]];
    std::uint64_t Failed = Evidence.Failures;
    std::uint64_t Count = Source.poisson(Mean);
    behaviour How = behaviourOf(IsNew, Now);
    latency_histogram Before = Evidence.Latency;
    Source.addCalls(Evidence, Count, How);
    if (!IsNew)
      return;
    if (Count > 0)
      WarmUp.callEnded(at(Time));
    if (WarmUp.isActive(at(Time)))
      Evidence.Latency = Before;
    Result.NewCalls += static_cast<double>(Count);
    recordBadCalls(Count, Evidence.Failures - Failed, Now, Time);
  }

  /// Counts the calls that the fault affected: every call while it slows calls,
  /// otherwise the failed calls.
  void recordBadCalls(std::uint64_t Count, std::uint64_t Failed,
                      const moment &Now, double Time) {
    behaviour Own = Scenario.New(Now);
    bool Faulty = Own.FailureRate > baseline(Now).FailureRate;
    std::uint64_t Bad = Own.SlowFactor > 1 ? Count : Faulty ? Failed : 0;
    if (Scenario.Good || Bad == 0)
      return;
    Result.BadCalls += static_cast<double>(Bad);
    if (Result.FirstFaultAt < 0)
      Result.FirstFaultAt = Time;
  }

  /// Runs the calls that still go to the new version while a lower share
  /// spreads, including calls already in transit.
  void runCallsDuringSpread(unsigned Share, double Time) {
    double Spread = Scenario.Nodes > 100 ? LargeFleetSpreadSeconds
                                         : SmallFleetSpreadSeconds;
    Result.ShareZeroAt = Time + Spread;
    runCalls(Share, Time, Spread / 2);
  }

  void finish(const policy_state &State, double Time) {
    Result.Verdict = State.Decided;
    Result.Reason = State.Reason;
    Result.DecidedAt = Time;
  }

  struct counts {
    evidence_by_route Old;
    evidence_by_route New;
  };

  const scenario &Scenario;
  double Rate;
  double MoveSeconds;
  outcome_source Source;
  counts Counted;
  counts Reported;
  warm_up WarmUp;
  run_result Result;
  static inline const route_name Names[RouteCount] = {
      route_name("a"), route_name("b"), route_name("c")};
};

/// Returns a reason without its numbers, so that equal reasons are counted
/// together.
std::string withoutDigits(const std::string &Text) {
  std::string Out;
  for (char Letter : Text)
    if (std::isdigit(static_cast<unsigned char>(Letter)) == 0 && Letter != '.')
      Out += Letter;
  return Out;
}

struct row {
  unsigned Runs = 0;
  unsigned Done = 0;
  unsigned DoneInTime = 0;
  unsigned TakenBack = 0;
  double BadCalls = 0;
  double Calls = 0;
  std::vector<double> NewVersionCalls;
  std::vector<double> FaultToZeroSeconds;
  std::map<std::string, unsigned> Reasons;

  void add(const run_result &Result, double MoveSeconds, bool StoreDown) {
    ++Runs;
    // A store outage delays only the record of the verdict, never the share.
    bool Waits = StoreDown && Result.DecidedAt > MoveSeconds / 3 &&
                 Result.DecidedAt < MoveSeconds * 2 / 3;
    double RecordedAt = Waits ? MoveSeconds * 2 / 3 : Result.DecidedAt;
    bool IsDone = Result.Verdict == move_verdict::done;
    Done += IsDone ? 1 : 0;
    DoneInTime += IsDone && RecordedAt <= MoveSeconds ? 1 : 0;
    TakenBack += Result.Verdict == move_verdict::taken_back ? 1 : 0;
    BadCalls += Result.BadCalls;
    Calls += Result.Calls;
    if (Result.Verdict != move_verdict::taken_back)
      return;
    NewVersionCalls.push_back(Result.NewCalls);
    if (Result.FirstFaultAt >= 0 && Result.ShareZeroAt >= 0)
      FaultToZeroSeconds.push_back(Result.ShareZeroAt - Result.FirstFaultAt);
    ++Reasons[withoutDigits(Result.Reason)];
  }
};

double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Fraction * static_cast<double>(Values.size() - 1))];
}

std::unique_ptr<move_policy> makePolicy(const std::string &Name,
                                        const move_rule &Rule) {
  if (Name == "threshold")
    return std::make_unique<threshold_policy>(Rule);
  if (Name == "health")
    return std::make_unique<health_policy>(Rule);
  return std::make_unique<shipped_policy>(Rule);
}

struct row_key {
  const scenario &Scenario;
  std::string Policy;
  double Rate;
  double MoveSeconds;
};

std::vector<run_result> runRow(const row_key &Key, const options &Options) {
  std::vector<run_result> Results(Options.Runs);
  std::atomic<unsigned> Next{0};
  auto Work = [&] {
    for (unsigned Run = Next++; Run < Options.Runs; Run = Next++) {
      auto Policy =
          makePolicy(Key.Policy, simulated_move::rule(Key.MoveSeconds));
      simulated_move Move(Key.Scenario, Key.Rate, Key.MoveSeconds, Run + 1);
      Results[Run] = Move.run(*Policy);
    }
  };
  std::vector<std::thread> Threads;
  for (unsigned Index = 0; Index < Options.Threads; ++Index)
    Threads.emplace_back(Work);
  for (std::thread &Thread : Threads)
    Thread.join();
  return Results;
}

double percent(double Part, double Total) {
  return Total > 0 ? 100 * Part / Total : 0;
}

void print(const row_key &Key, const std::vector<run_result> &Results,
           bool StoreDown, const options &Options) {
  row Row;
  for (const run_result &Result : Results)
    Row.add(Result, Key.MoveSeconds, StoreDown);
  std::printf(
      "%-24s %-9s %-4s %3.0f %-4s %6u %8.2f %8.2f %9.4f %8.1f %9.0f "
      "%7.2f %8.2f\n",
      Key.Scenario.Name.c_str(), Key.Policy.c_str(),
      Key.Rate > 100 ? "high" : "low", Key.MoveSeconds / 60,
      StoreDown ? "down" : "up", Row.Runs, percent(Row.TakenBack, Row.Runs),
      percent(Row.DoneInTime, Row.Runs), percent(Row.BadCalls, Row.Calls),
      Row.BadCalls / Row.Runs, quantile(Row.NewVersionCalls, 0.5),
      quantile(Row.FaultToZeroSeconds, 0.5),
      quantile(Row.FaultToZeroSeconds, 0.99));
  if (Options.Reasons)
    for (const auto &[Reason, Count] : Row.Reasons)
      std::printf("      %u x %s\n", Count, Reason.c_str());
  std::fflush(stdout);
}

void runAll(const options &Options) {
  std::printf("%-24s %-9s %-4s %3s %-4s %6s %8s %8s %9s %8s %9s %7s %8s\n",
              "new version", "policy", "load", "min", "stor", "runs", "back%",
              "done%", "bad/all%", "bad/run", "new-calls", "s p50", "s p99");
  std::vector<scenario> Scenarios = allScenarios();
  for (const scenario &Scenario : Scenarios)
    for (const char *Policy : {"shipped", "threshold", "health"})
      for (double Rate : {HighTraffic, LowTraffic})
        for (unsigned Minutes : {5U, 15U, 60U}) {
          bool Selected =
              Scenario.Name.find(Options.Only) != std::string::npos &&
              (Options.Policy.empty() || Options.Policy == Policy) &&
              (Options.Minutes == 0 || Options.Minutes == Minutes) &&
              (Options.Traffic.empty() ||
               (Options.Traffic == "high") == (Rate > 100));
          if (!Selected)
            continue;
          row_key Key{Scenario, Policy, Rate, Minutes * 60.0};
          std::vector<run_result> Results = runRow(Key, Options);
          for (bool StoreDown : {false, true})
            print(Key, Results, StoreDown, Options);
        }
}

/// Runs the circuit breakers of 540 entry nodes on good versions with a noisy
/// dependency; prints in how many moves any of them would have opened.
void runCircuitBreakers(const options &Options) {
  constexpr unsigned Nodes = 540;
  constexpr double Seconds = 300;
  constexpr unsigned Shares[] = {100, 1'000, 2'500, 5'000};
  std::atomic<unsigned> Next{0};
  std::atomic<unsigned> Stopped{0};
  move_rule Rule = simulated_move::rule(Seconds);
  auto Work = [&] {
    for (unsigned Run = Next++; Run < Options.Runs; Run = Next++) {
      bool Fired = false;
      outcome_source Source(Run + 1);
      for (unsigned Node = 0; Node < Nodes; ++Node) {
        local_circuit_breaker Breaker;
        move_progress Progress;
        for (unsigned Second = 0; Second < Seconds; ++Second) {
          Progress.Step = 1 + Second * 4 / 300;
          Progress.Share = Shares[Progress.Step - 1];
          Breaker.updateProgress(Rule, Progress);
          moment Now{static_cast<double>(Second), Seconds,
                     Progress.Share / 10'000.0, 0};
          double FailureRate =
              baseline(Now).FailureRate + noisyDependency(Now).FailureRate;
          std::uint64_t Calls = Source.poisson(HighTraffic * 10 / Nodes);
          for (std::uint64_t Call = 0; Call < Calls; ++Call) {
            bool IsNew = Source.unit() < Now.Share;
            bool Failed = Source.unit() < FailureRate;
            Fired |=
                Breaker
                    .record(Rule.Service, IsNew ? Rule.To : Rule.From, Failed)
                    .has_value();
          }
        }
      }
      Stopped += Fired ? 1 : 0;
    }
  };
  std::vector<std::thread> Threads;
  for (unsigned Index = 0; Index < Options.Threads; ++Index)
    Threads.emplace_back(Work);
  for (std::thread &Thread : Threads)
    Thread.join();
  std::printf("circuit breakers of %u entry nodes, noisy dependency, %.0f "
              "calls a second: "
              "%u of %u moves stopped\n",
              Nodes, HighTraffic * 10, Stopped.load(), Options.Runs);
}

options readOptions(int Count, char **Arguments) {
  options Options;
  for (int Index = 1; Index < Count; ++Index) {
    std::string Name = Arguments[Index];
    if (Name == "--reasons" || Name == "--brakes") {
      (Name == "--reasons" ? Options.Reasons : Options.CircuitBreakers) = true;
      continue;
    }
    std::string Value = Index + 1 < Count ? Arguments[++Index] : "";
    if (Name == "--runs")
      Options.Runs = static_cast<unsigned>(std::stoul(Value));
    else if (Name == "--threads")
      Options.Threads = static_cast<unsigned>(std::stoul(Value));
    else if (Name == "--minutes")
      Options.Minutes = static_cast<unsigned>(std::stoul(Value));
    else if (Name == "--only")
      Options.Only = Value;
    else if (Name == "--policy")
      Options.Policy = Value;
    else if (Name == "--traffic")
      Options.Traffic = Value;
  }
  return Options;
}

} // namespace

int main(int Count, char **Arguments) {
  options Options = readOptions(Count, Arguments);
  if (Options.CircuitBreakers)
    runCircuitBreakers(Options);
  else
    runAll(Options);
  return 0;
}
