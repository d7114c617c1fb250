#pragma once

#include <unordered_map>

#include "base/names.h"
#include "routing/decaying_ratio.h"

namespace chivebeam {

/// Tells whether it pays to ask several home nodes of a service for a free slot
/// before a call waits for one. In a shortage hardly any has one, and asking
/// would only delay the call and load the nodes. Learned from the answers to
/// such questions; after a while without any, it asks again. Not thread safe.
class free_slot_odds {
public:
  /// Records whether a home node that was asked had a free slot.
  void record(const service_name &Service, bool HadFreeSlot, instant Now);
  /// Returns whether the next home node is likely enough to have a free slot.
  bool isLikely(const service_name &Service, instant Now) const;

private:
  static constexpr microseconds HalfLife{1'000'000};

  std::unordered_map<service_name, decaying_ratio> BusyRatios;
};

} // namespace chivebeam
