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

void weighted_splitter::start(split_state &State, const route_rule &Route) {
  State.Weights = weightsOf(Route);
  std::int64_t Sum =
      std::accumulate(State.Weights.begin(), State.Weights.end(), 0LL);
  State.Deficit.assign(State.Weights.size(), 0);
  if (Sum <= 0)
    return;
  // Each service starts at a random point of the interval between its calls.
  for (std::int64_t &Deficit : State.Deficit)
    Deficit = static_cast<std::int64_t>(
        Random.below(static_cast<std::uint64_t>(Sum)));
}

const service_name &weighted_splitter::choose(const route_rule &Route) {
  if (Route.Split.empty())
    return Route.Service;
  split_state &State = States[Route.Name];
  if (State.Weights != weightsOf(Route))
    start(State, Route);
  std::int64_t Sum = 0;
  std::size_t Largest = 0;
  for (std::size_t Index = 0; Index < State.Deficit.size(); ++Index) {
    State.Deficit[Index] += State.Weights[Index];
    Sum += State.Weights[Index];
    if (State.Deficit[Index] > State.Deficit[Largest] ||
        State.Weights[Largest] == 0)
      Largest = Index;
  }
  State.Deficit[Largest] -= Sum;
  return Route.Split[Largest].Service;
}

void weighted_splitter::keepOnly(const std::vector<route_rule> &Routes) {
  std::unordered_set<route_name> Names;
  for (const route_rule &Route : Routes)
    Names.insert(Route.Name);
  std::erase_if(States,
                [&](const auto &Item) { return !Names.contains(Item.first); });
}

} // namespace chivebeam
