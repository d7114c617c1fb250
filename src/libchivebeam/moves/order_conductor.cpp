#include "moves/order_conductor.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// The order is read a little after it was given; the verdict is recorded so
/// much before the set time, so that it is in the store by then.
constexpr milliseconds VerdictMargin{500};
/// Calls that were on their way to a version when its share became zero.
constexpr milliseconds CallsUnderWay{300};

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

/// The version that most backend servers of the service have, but for To.
version_name presentVersion(const service_name &Service, const version_name &To,
                            const std::vector<home_record> &Homes) {
  std::map<version_name, unsigned> Counts;
  for (const home_record &Home : Homes)
    if (Home.Worker.Service == Service && Home.Worker.Version != To)
      ++Counts[Home.Worker.Version];
  auto Most = std::max_element(Counts.begin(), Counts.end(),
                               [](const auto &Left, const auto &Right) {
                                 return Left.second < Right.second;
                               });
  return Most == Counts.end() ? version_name() : Most->first;
}

} // namespace

service_move order_conductor::begin(std::uint64_t Order,
                                    const service_name &Service,
                                    const version_name &To, microseconds Within,
                                    const std::vector<home_record> &Homes,
                                    instant Now) {
  service_move Move;
  Move.Order = Order;
  Move.Rule.Id =
      move_id(Service.str() + "." + To.str() + "." + std::to_string(Order));
  Move.Rule.Service = Service;
  Move.Rule.From = presentVersion(Service, To, Homes);
  Move.Rule.To = To;
  Move.Rule.Start = Now;
  Move.Rule.Deadline = Now + Within - VerdictMargin;
  Move.Rule.Brief = true;
  Move.Progress.Id = Move.Rule.Id;
  return Move;
}

void order_conductor::offerEvidence(const evidence_report &Report,
                                    instant Now) {
  auto Found = Watched.find(Report.Service);
  if (Found == Watched.end())
    return;
  // Whatever is not the new version counts as the old one: which that is may
  // not have been known when the order came.
  evidence_report Ours = Report;
  if (Ours.Version != Found->second.To)
    Ours.Version = Found->second.From;
  Found->second.Tracker.offer(Ours, Now);
}

std::optional<move_progress>
order_conductor::decide(const service_move &Move,
                        const std::vector<home_record> &Homes, instant Now) {
  watched_move &Watch = Watched[Move.Rule.Service];
  if (Watch.Id != Move.Rule.Id)
    Watch = {Move.Rule.Id, Move.Rule.From, Move.Rule.To, evidence_tracker()};
  move_progress Before = Move.Progress;
  // Another conductor's clock may have been ahead of this one.
  Before.StepSince = std::min(Before.StepSince, Now);
  move_observation Seen = Watch.Tracker.observe(
      Move.Rule, Before, countWorkers(Move.Rule, Homes, Now), Now);
  return Decider.decide(planMove(Move.Rule), Before, Seen, Now);
}

bool order_conductor::canRecord(const service_move &Move, instant Now) {
  return Move.isUnderWay() && Move.Progress.Phase != move_phase::stepping &&
         Now >= Move.Progress.DecidedAt + CallsUnderWay;
}

void order_conductor::keepOnly(
    const std::map<service_name, service_move> &Moves) {
  std::erase_if(Watched,
                [&](const auto &Item) { return !Moves.contains(Item.first); });
}

} // namespace chivebeam
