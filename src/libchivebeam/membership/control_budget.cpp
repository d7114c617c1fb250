#include "membership/control_budget.h"

#include <algorithm>

namespace chivebeam {

void control_budget::refill(instant Now) {
  if (Now <= RefilledAt)
    return;
  std::chrono::duration<double> Passed = Now - RefilledAt;
  Tokens = std::min(Capacity, Tokens + Rate * Passed.count());
  RefilledAt = Now;
}

double control_budget::minimumTokens(traffic_class Class) const {
  switch (Class) {
  case traffic_class::probe:
    return -Capacity;
  case traffic_class::urgent:
    return 0;
  case traffic_class::updates:
  case traffic_class::repair:
    return Capacity / 4;
  }
  return 0;
}

bool control_budget::canSpend(traffic_class Class, std::size_t Bytes,
                              instant Now) {
  refill(Now);
  return Tokens - static_cast<double>(Bytes) >= minimumTokens(Class);
}

bool control_budget::spend(traffic_class Class, std::size_t Bytes,
                           instant Now) {
  if (!canSpend(Class, Bytes, Now)) {
    ++Refused;
    return false;
  }
  Tokens -= static_cast<double>(Bytes);
  return true;
}

} // namespace chivebeam
