#pragma once

#include "moves/evidence.h"

namespace chivebeam {

/// What the move's owner sees when it decides.
struct move_observation {
  move_evidence Evidence;
  std::uint64_t CallsPerMinute = 0; ///< of the service, both versions
  microseconds MeanDuration{0};     ///< of a call, both versions
  unsigned OldWorkers = 0;          ///< ready workers of the old version
  unsigned NewWorkers = 0;
  unsigned NewSlots = 0;      ///< of all ready workers of the new version
  unsigned NewReporters = 0;  ///< home nodes of them that reported lately
  unsigned WantedWorkers = 0; ///< workers that each version should have
  instant
      TooFewWorkersSince; ///< since when too few of the new version are ready
  bool TrafficKnown = false; ///< CallsPerMinute covers a proper stretch
};

/// True if at least half of the wanted workers serve the new version.
inline bool hasEnoughWorkers(const move_observation &Observation) {
  return Observation.NewWorkers > 0 &&
         Observation.NewWorkers * 2 >= Observation.WantedWorkers;
}

} // namespace chivebeam
