#include "moves/local_circuit_breaker.h"

#include <cmath>
#include <cstdio>

namespace chivebeam {

namespace {

constexpr event_tolerance Tolerance{1.3, 0.001};
constexpr std::size_t MaxIntervals = 16;

bool isPaused(const move_progress &Progress) {
  return Progress.Phase != move_phase::stepping ||
         Progress.Recorded != move_verdict::none || Progress.Share == 0 ||
         Progress.Share >= FullShare || Progress.StepsBack > 0;
}

} // namespace

void local_circuit_breaker::updateProgress(const move_rule &Rule,
                                           const move_progress &Progress) {
  tracked_move &Move = Moves[Rule.Service];
  if (Move.Id != Rule.Id || Move.From != Rule.From || Move.To != Rule.To)
    Move = {Rule.Id, Rule.From, Rule.To, 0, true, {}};
  Move.Paused = isPaused(Progress);
  if (Move.Step == Progress.Step)
    return;
  Move.Step = Progress.Step;
  Move.Intervals.emplace_back();
  if (Move.Intervals.size() > MaxIntervals)
    Move.Intervals.erase(Move.Intervals.begin());
}

std::optional<std::string>
local_circuit_breaker::record(const service_name &Service,
                              const version_name &Version, bool Failed) {
  auto Found = Moves.find(Service);
  if (Found == Moves.end())
    return std::nullopt;
  tracked_move &Move = Found->second;
  if (Move.Paused || Move.Intervals.empty())
    return std::nullopt;
  event_counts &Counts = Move.Intervals.back();
  if (Version == Move.To) {
    Counts.NewCalls += 1;
    Counts.NewEvents += Failed ? 1 : 0;
  } else if (Version == Move.From) {
    Counts.OldCalls += 1;
    Counts.OldEvents += Failed ? 1 : 0;
  }
  if (Failed && Version == Move.To)
    return evaluate(Move);
  return std::nullopt;
}

std::optional<std::string>
local_circuit_breaker::evaluate(const tracked_move &Move) {
  if (logEvidence(Move.Intervals, Tolerance) < std::log(1 / ErrorRate))
    return std::nullopt;
  event_counts Total;
  for (const event_counts &Counts : Move.Intervals)
    Total.add(Counts);
  char Text[160];
  std::snprintf(Text, sizeof Text,
                "at one entry node, %.0f of %.0f calls failed, against %.0f of "
                "%.0f on the old version over the same time",
                Total.NewEvents, Total.NewCalls, Total.OldEvents,
                Total.OldCalls);
  return Text;
}

} // namespace chivebeam
