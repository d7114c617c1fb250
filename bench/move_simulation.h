#pragma once

#include <array>
#include <cmath>
#include <functional>
#include <memory>
#include <string>

#include "base/random.h"
#include "moves/evidence_tracker.h"
#include "moves/move_decider.h"
#include "moves/sequential_evaluator.h"
#include "moves/threshold_evaluator.h"

namespace chivebeam::bench {

inline constexpr std::size_t RouteCount = 3;
inline constexpr double RouteShare[RouteCount] = {0.6, 0.3, 0.1};

/// Behaviour of one version at one moment on one route.
struct behaviour {
  double FailureRate = 0;
  double SlowFactor = 1;
};

struct moment {
  double Seconds = 0;     ///< since the start of the move
  double MoveSeconds = 0; ///< length of the move in seconds
  double Share = 0;       ///< of the new version, 0 to 1
  std::size_t Route = 0;
};

/// Behaviour of the new version, and disturbances of both versions.
struct scenario {
  std::string Name;
  bool Good = true;
  std::function<behaviour(const moment &)> New;
  std::function<behaviour(const moment &)> Both; ///< added to both versions
  unsigned NewWorkers = 5;
  bool HealthAlwaysOk = false; ///< the health endpoint always answers ok
  unsigned Nodes = 15;
};

/// Generates random outcomes of many calls at once. Not thread safe.
class outcome_source {
public:
  explicit outcome_source(std::uint64_t Seed) : Random(Seed) {}

  std::uint64_t binomial(std::uint64_t Count, double Rate) {
    if (Count == 0 || Rate <= 0)
      return 0;
    if (Rate >= 1)
      return Count;
    double Mean = static_cast<double>(Count) * Rate;
    if (Count <= 16)
      return countSingly(Count, Rate);
    if (Mean < 20)
      return std::min(Count, poisson(Mean));
    double Deviation = std::sqrt(Mean * (1 - Rate));
    double Sample = std::round(Mean + Deviation * normal());
    return static_cast<std::uint64_t>(
        std::clamp(Sample, 0.0, static_cast<double>(Count)));
  }

  std::uint64_t poisson(double Mean) {
    if (Mean > 50)
      return static_cast<std::uint64_t>(
          std::max(0.0, std::round(Mean + std::sqrt(Mean) * normal())));
    double Limit = std::exp(-Mean);
    std::uint64_t Count = 0;
    for (double Product = Random.unit(); Product > Limit;
         Product *= Random.unit())
      ++Count;
    return Count;
  }

  double unit() { return Random.unit(); }

  /// Adds Count calls: log-normal latency with a median of 20 ms.
  void addCalls(route_evidence &Evidence, std::uint64_t Count,
                const behaviour &How) {
    Evidence.Calls += Count;
    Evidence.Failures += binomial(Count, How.FailureRate);
    double Shift = std::log(20'000 * How.SlowFactor);
    if (Count <= 24) {
      for (std::uint64_t Index = 0; Index < Count; ++Index)
        Evidence.Latency.record(microseconds(
            static_cast<std::int64_t>(std::exp(Shift + Spread * normal()))));
      return;
    }
    addLatencies(Evidence.Latency, Count, Shift);
  }

private:
  static constexpr double Spread = 0.5;

  std::uint64_t countSingly(std::uint64_t Count, double Rate) {
    std::uint64_t Hits = 0;
    for (std::uint64_t Index = 0; Index < Count; ++Index)
      Hits += Random.unit() < Rate ? 1 : 0;
    return Hits;
  }

  double normal() {
    double Radius = std::sqrt(-2 * std::log(1 - Random.unit()));
    return Radius * std::cos(6.283185307179586 * Random.unit());
  }

  void addLatencies(latency_histogram &Latency, std::uint64_t Count,
                    double Shift) {
    std::uint64_t Remaining = Count;
    double Before = 0;
    for (std::size_t Bucket = 0; Bucket < latency_histogram::BucketCount;
         ++Bucket) {
      double Bound = std::log(
          static_cast<double>(latency_histogram::upperBound(Bucket).count()));
      double Below = 0.5 * std::erfc((Shift - Bound) / Spread / std::sqrt(2.0));
      double Rest = 1 - Before;
      std::uint64_t InBucket =
          Rest <= 1e-12 ? Remaining
                        : binomial(Remaining, (Below - Before) / Rest);
      Latency.buckets()[Bucket] += InBucket;
      Remaining -= InBucket;
      Before = Below;
      if (Remaining == 0)
        return;
    }
    Latency.buckets().back() += Remaining;
  }

  random_source Random;
};

/// Input of a policy.
struct policy_view {
  evidence_by_route Old; ///< cumulative, as reported so far
  evidence_by_route New;
  unsigned NewWorkers = 5;
  bool HealthOk = true;
  instant Now;
};

struct policy_state {
  unsigned Share = 0;
  move_verdict Decided = move_verdict::none;
  std::string Reason;
};

/// Decides the share and the verdict of a move.
class move_policy {
public:
  virtual ~move_policy() = default;
  virtual policy_state tick(const policy_view &View) = 0;
};

/// The move decisions of the product.
class shipped_policy : public move_policy {
public:
  explicit shipped_policy(move_rule MoveRule)
      : Rule(std::move(MoveRule)), Decider(Evaluator), Plan(planMove(Rule)) {
    Progress.Id = Rule.Id;
  }

  policy_state tick(const policy_view &View) override {
    addReport("old", Rule.From, View.Old, View.Now);
    addReport("new", Rule.To, View.New, View.Now);
    // One reporter represents all home nodes of a version.
    worker_counts Workers{5, View.NewWorkers, View.NewWorkers * Slots, 5};
    move_observation Observation =
        Tracker.observe(Rule, Progress, Workers, View.Now);
    Observation.NewReporters = View.NewWorkers;
    if (auto After = Decider.decide(Plan, Progress, Observation, View.Now))
      Progress = *After;
    return {shareOf(Plan, Progress), decided(), Progress.Reason};
  }

  /// Slots of one worker; enough for the highest traffic unless a scenario
  /// has fewer workers.
  static constexpr unsigned Slots = 20;

private:
  void addReport(const char *Node, const version_name &Version,
                 const evidence_by_route &Routes, instant Now) {
    Tracker.addReport({node_id(Node), incarnation(1), Rule.Service, Version,
                       ++Sequence, Routes},
                      Now);
  }
  move_verdict decided() const {
    if (Progress.Phase == move_phase::taken_back)
      return move_verdict::taken_back;
    return Progress.Phase == move_phase::deciding ? move_verdict::done
                                                  : move_verdict::none;
  }

  move_rule Rule;
  sequential_evaluator Evaluator;
  move_decider Decider;
  move_plan Plan;
  evidence_tracker Tracker;
  move_progress Progress;
  std::uint64_t Sequence = 0;
};

/// Five fixed steps. A step ends when its time has passed and the evaluation is
/// good. A bad evaluation takes the move back, and so does the deadline if the
/// current step has not ended by then.
class fixed_steps_policy : public move_policy {
public:
  explicit fixed_steps_policy(move_rule MoveRule) : Rule(std::move(MoveRule)) {}

  policy_state tick(const policy_view &View) override {
    if (State.Decided == move_verdict::none && View.Now >= Rule.Start)
      advance(View);
    return State;
  }

protected:
  virtual evaluation_outcome evaluate(const evidence_window &SinceStep,
                                      const policy_view &View) = 0;

private:
  static constexpr unsigned Shares[] = {500, 1'000, 2'500, 5'000, 10'000};
  static constexpr int Weights[] = {10, 10, 10, 20, 30};

  void startStep(const policy_view &View) {
    Since = View.Now;
    Base = {View.Old, View.New};
    State.Share = Shares[Step++];
  }

  void advance(const policy_view &View) {
    if (Step == 0) {
      if (View.NewWorkers * 2 >= 5)
        startStep(View);
      else if (View.Now >= Rule.Deadline)
        finish(move_verdict::taken_back);
      return;
    }
    evidence_window Window{View.Old, View.New};
    subtract(Window.Old, Base.Old);
    subtract(Window.New, Base.New);
    evaluation_outcome Outcome = evaluate(Window, View);
    microseconds StepDuration =
        (Rule.Deadline - Rule.Start) * Weights[Step - 1] / 100;
    bool StepOver =
        Outcome == evaluation_outcome::good && View.Now >= Since + StepDuration;
    if (Outcome == evaluation_outcome::bad ||
        (!StepOver && View.Now >= Rule.Deadline))
      finish(move_verdict::taken_back);
    else if (StepOver)
      Step == std::size(Shares) ? finish(move_verdict::done) : startStep(View);
  }

  static void subtract(evidence_by_route &From,
                       const evidence_by_route &Other) {
    for (const auto &[Route, Evidence] : Other)
      From[Route].subtract(Evidence);
  }

  void finish(move_verdict Verdict) {
    State.Decided = Verdict;
    if (Verdict == move_verdict::taken_back)
      State.Share = 0;
  }

  move_rule Rule;
  policy_state State;
  evidence_window Base;
  instant Since;
  std::size_t Step = 0;
};

/// Baseline: compares failures with a threshold after a number of calls.
class threshold_policy : public fixed_steps_policy {
public:
  using fixed_steps_policy::fixed_steps_policy;

protected:
  evaluation_outcome evaluate(const evidence_window &SinceStep,
                              const policy_view &) override {
    return threshold_evaluator().evaluate({{}, SinceStep, {}, {}}).Outcome;
  }
};

/// Baseline: uses only the health endpoints.
class health_policy : public fixed_steps_policy {
public:
  using fixed_steps_policy::fixed_steps_policy;

protected:
  evaluation_outcome evaluate(const evidence_window &,
                              const policy_view &View) override {
    return View.HealthOk ? evaluation_outcome::good : evaluation_outcome::bad;
  }
};

} // namespace chivebeam::bench
