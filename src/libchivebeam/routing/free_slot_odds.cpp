#include "routing/free_slot_odds.h"

namespace chivebeam {

namespace {

/// If more of the home nodes than this were busy, a call waits at the first.
constexpr double MaxBusyRatio = 0.7;
/// Fewer recent answers than this tell nothing.
constexpr double MinAnswers = 2;
/// Bounds the memory for services, which come and go; at this number, all
/// answers are dropped.
constexpr std::size_t MaxServices = 1'024;

} // namespace

void free_slot_odds::record(const service_name &Service, bool HadFreeSlot,
                            instant Now) {
  if (BusyRatios.size() >= MaxServices && !BusyRatios.contains(Service))
    BusyRatios.clear();
  BusyRatios.try_emplace(Service, HalfLife)
      .first->second.record(!HadFreeSlot, Now);
}

bool free_slot_odds::isLikely(const service_name &Service, instant Now) const {
  auto Found = BusyRatios.find(Service);
  return Found == BusyRatios.end() || Found->second.weight(Now) < MinAnswers ||
         Found->second.value(Now) <= MaxBusyRatio;
}

} // namespace chivebeam
