#pragma once

#include "moves/evidence.h"

namespace chivebeam {

/// Input of one decision of a move's owner.
struct move_observation {
  move_evidence Evidence;
  std::uint64_t CallsPerMinute = 0; ///< calls of both versions
  microseconds MeanDuration{0};     ///< mean over the calls of both versions
  unsigned OldWorkers = 0;          ///< ready workers of the old version
  unsigned NewWorkers = 0;
  unsigned NewSlots = 0;      ///< slots of these workers
  unsigned NewReporters = 0;  ///< their home nodes with a recent report
  unsigned WantedWorkers = 0; ///< target number for each version
  /// Start of the time with too few ready workers of the new version; zero if
  /// there are enough.
  instant TooFewWorkersSince;
  bool TrafficKnown = false; ///< CallsPerMinute covers a long enough interval
};

/// True if the new version has at least half of the wanted workers, and at
/// least one.
inline bool hasEnoughWorkers(const move_observation &Observation) {
  return Observation.NewWorkers > 0 &&
         Observation.NewWorkers * 2 >= Observation.WantedWorkers;
}

} // namespace chivebeam
