#include "mesh/downstream_services.h"

#include <algorithm>

namespace chivebeam {

refusal_ratios downstream_services::refusals(instant Now) const {
  refusal_ratios Worst;
  if (!State.view())
    return Worst;
  for (const service_name &Service : Called.current(Now)) {
    auto Versions = State.view()->Endpoints.find(Service);
    if (Versions == State.view()->Endpoints.end())
      continue;
    for (const auto &[Version, Group] : Versions->second)
      for (const refusal_ratio &Ratio : Picker.overload(Group, Now).Own)
        if (Ratio.Permille > refusalRatioAt(Worst, Ratio.Urgency)) {
          std::erase_if(Worst, [&](const refusal_ratio &Known) {
            return Known.Urgency == Ratio.Urgency;
          });
          Worst.push_back(Ratio);
        }
  }
  return Worst;
}

unsigned downstream_services::retryBudgetUsage(instant Now) {
  double Most = 0;
  for (const service_name &Service : Called.current(Now))
    Most = std::max(Most, RetryBudget.usedFraction(Service, Now));
  return static_cast<unsigned>(std::min(Most, 1.0) * 1'000);
}

} // namespace chivebeam
