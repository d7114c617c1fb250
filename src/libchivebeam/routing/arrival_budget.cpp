#include "routing/arrival_budget.h"

namespace chivebeam {

arrival_budget::part &arrival_budget::partAt(const service_name &Service,
                                             instant Now) {
  history &History = Services[Service];
  constexpr auto Count = static_cast<std::int64_t>(Parts);
  std::int64_t Number =
      Now.time_since_epoch().count() / (Limits.Window.count() / Count);
  std::int64_t First = std::max(History.Newest + 1, Number - Count + 1);
  for (std::int64_t Stale = First; Stale <= Number; ++Stale)
    History.Ring[static_cast<std::size_t>(Stale % Count)] = part();
  History.Newest = std::max(History.Newest, Number);
  return History.Ring[static_cast<std::size_t>(History.Newest % Count)];
}

void arrival_budget::callStarted(const service_name &Service, instant Now) {
  partAt(Service, Now).Calls += 1;
}

void arrival_budget::noteRepeat(const service_name &Service, instant Now) {
  partAt(Service, Now).Repeats += 1;
}

std::pair<double, double>
arrival_budget::usedAndAllowed(const service_name &Service, instant Now) {
  partAt(Service, Now); // drops what is too old
  part Sum;
  for (const part &Part : Services[Service].Ring) {
    Sum.Calls += Part.Calls;
    Sum.Repeats += Part.Repeats;
  }
  return {Sum.Repeats, Limits.Ratio * Sum.Calls + Limits.Slack / Limits.Nodes};
}

double arrival_budget::usedPart(const service_name &Service, instant Now) {
  auto [Used, Allowed] = usedAndAllowed(Service, Now);
  return Allowed > 0 ? Used / Allowed : 1;
}

bool arrival_budget::takeRepeat(const service_name &Service, instant Now) {
  auto [Used, Allowed] = usedAndAllowed(Service, Now);
  if (Used + 1 > Allowed * UsedPart)
    return false;
  noteRepeat(Service, Now);
  return true;
}

} // namespace chivebeam
