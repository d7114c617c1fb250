#include "moves/order_coordinator.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// The verdict is due this long before the deadline of the order, so that it is
/// in the store by then, although the order was read with some delay.
constexpr milliseconds VerdictMargin{500};
/// Time that calls already sent to a version need to complete after its share
/// became zero.
constexpr milliseconds InFlightCallTime{300};

bool serves(const home_record &Home, const service_name &Service, instant Now) {
  return takesCalls(Home) && Home.Worker.Service == Service &&
         Now >= Home.Worker.ReadySince;
}

worker_counts countWorkers(const move_rule &Rule,
                           const std::vector<home_record> &Homes, instant Now) {
  worker_counts Count;
  for (const home_record &Home : Homes) {
    if (!serves(Home, Rule.Service, Now))
      continue;
    if (Home.Worker.Version == Rule.To) {
      ++Count.New;
      Count.NewSlots += Home.Worker.Slots;
    } else {
      ++Count.Old;
    }
  }
  Count.Wanted = std::max(Count.Old, 1U);
  return Count;
}

/// Returns the version that most backend servers of the service run, not
/// counting To; empty if there is none.
version_name currentVersion(const service_name &Service, const version_name &To,
                            const std::vector<home_record> &Homes) {
  std::map<version_name, unsigned> Counts;
  for (const home_record &Home : Homes)
    if (Home.Worker.Service == Service && Home.Worker.Version != To)
      ++Counts[Home.Worker.Version];
  auto MostCommon = std::max_element(Counts.begin(), Counts.end(),
                                     [](const auto &Left, const auto &Right) {
                                       return Left.second < Right.second;
                                     });
  return MostCommon == Counts.end() ? version_name() : MostCommon->first;
}

} // namespace

service_move
order_coordinator::begin(std::uint64_t Order, const service_name &Service,
                         const version_name &To, microseconds Within,
                         const std::vector<home_record> &Homes, instant Now) {
  service_move Move;
  Move.Order = Order;
  Move.Rule.Id =
      move_id(Service.str() + "." + To.str() + "." + std::to_string(Order));
  Move.Rule.Service = Service;
  Move.Rule.From = currentVersion(Service, To, Homes);
  Move.Rule.To = To;
  Move.Rule.Start = Now;
  Move.Rule.Deadline = Now + Within - VerdictMargin;
  Move.Rule.Brief = true;
  Move.Progress.Id = Move.Rule.Id;
  return Move;
}

void order_coordinator::addEvidence(const evidence_report &Report,
                                    instant Now) {
  auto Found = Tracked.find(Report.Service);
  if (Found == Tracked.end())
    return;
  // Every version other than the new one counts as the old one, since the old
  // version may not have been known when the order arrived.
  evidence_report Adjusted = Report;
  if (Adjusted.Version != Found->second.To)
    Adjusted.Version = Found->second.From;
  Found->second.Tracker.addReport(Adjusted, Now);
}

std::optional<move_progress>
order_coordinator::decide(const service_move &Move,
                          const std::vector<home_record> &Homes, instant Now,
                          bool MayAdvance) {
  tracked_move &Current = Tracked[Move.Rule.Service];
  if (Current.Id != Move.Rule.Id)
    Current = {Move.Rule.Id, Move.Rule.From, Move.Rule.To, evidence_tracker()};
  move_progress Before = Move.Progress;
  // The clock of a previous coordinator may have been ahead of this node's
  // clock.
  Before.StepSince = std::min(Before.StepSince, Now);
  move_observation Observation = Current.Tracker.observe(
      Move.Rule, Before, countWorkers(Move.Rule, Homes, Now), Now);
  std::optional<move_progress> Next =
      Decider.decide(planMove(Move.Rule), Before, Observation, Now);
  bool TakesBack = Next && Next->Phase == move_phase::taken_back;
  return MayAdvance || TakesBack ? Next : std::nullopt;
}

bool order_coordinator::canRecordVerdict(const service_move &Move,
                                         instant Now) {
  return Move.isInProgress() && Move.Progress.Phase != move_phase::stepping &&
         Now >= Move.Progress.DecidedAt + InFlightCallTime;
}

void order_coordinator::keepOnly(
    const std::map<service_name, service_move> &Moves) {
  std::erase_if(Tracked,
                [&](const auto &Item) { return !Moves.contains(Item.first); });
}

} // namespace chivebeam
