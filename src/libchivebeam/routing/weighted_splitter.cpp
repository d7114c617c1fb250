#include "routing/weighted_splitter.h"

#include <algorithm>
#include <numeric>
#include <unordered_set>

namespace chivebeam {

namespace {

std::vector<std::int64_t> weightsOf(const route_rule &Route) {
  std::vector<std::int64_t> Weights;
  Weights.reserve(Route.Split.size());
  for (const weighted_service &Part : Route.Split)
    Weights.push_back(Part.Weight);
  return Weights;
}

} // namespace

void weighted_splitter::begin(round &Round, const route_rule &Route) {
  Round.Weights = weightsOf(Route);
  std::int64_t Sum =
      std::accumulate(Round.Weights.begin(), Round.Weights.end(), 0LL);
  Round.Owed.assign(Round.Weights.size(), 0);
  if (Sum <= 0)
    return;
  // Each service starts at a random point of its own interval between calls.
  for (std::int64_t &Owed : Round.Owed)
    Owed = static_cast<std::int64_t>(
        Random.below(static_cast<std::uint64_t>(Sum)));
}

const service_name &weighted_splitter::choose(const route_rule &Route) {
  if (Route.Split.empty())
    return Route.Service;
  round &Round = Rounds[Route.Name];
  if (Round.Weights != weightsOf(Route))
    begin(Round, Route);
  std::int64_t Sum = 0;
  std::size_t Most = 0;
  for (std::size_t Index = 0; Index < Round.Owed.size(); ++Index) {
    Round.Owed[Index] += Round.Weights[Index];
    Sum += Round.Weights[Index];
    if (Round.Owed[Index] > Round.Owed[Most] || Round.Weights[Most] == 0)
      Most = Index;
  }
  Round.Owed[Most] -= Sum;
  return Route.Split[Most].Service;
}

void weighted_splitter::keepOnly(const std::vector<route_rule> &Routes) {
  std::unordered_set<route_name> Names;
  for (const route_rule &Route : Routes)
    Names.insert(Route.Name);
  std::erase_if(Rounds,
                [&](const auto &Item) { return !Names.contains(Item.first); });
}

} // namespace chivebeam
