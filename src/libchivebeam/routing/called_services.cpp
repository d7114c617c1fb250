#include "routing/called_services.h"

namespace chivebeam {

void called_services::recordNestedCall(const service_name &Service,
                                       instant Now) {
  std::erase_if(LastCall, [&](const auto &Item) {
    return Now >= Item.second + Lifetime;
  });
  LastCall[Service] = Now;
}

std::vector<service_name> called_services::current(instant Now) const {
  std::vector<service_name> Services;
  for (const auto &[Service, At] : LastCall)
    if (Now < At + Lifetime)
      Services.push_back(Service);
  return Services;
}

} // namespace chivebeam
