#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/rule_set.h"
#include "moves/event_comparison.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// Compares both versions by the calls that this entry node forwarded, and
/// requests a take-back on strong evidence without waiting for the move's
/// owner. Each circuit breaker stops a good version in at most one of a million
/// moves, so that the error rates of all nodes of a fleet together stay far
/// below the owner's. Counts failures only. Not thread safe.
class local_circuit_breaker {
public:
  static constexpr double ErrorRate = 1e-6;

  /// Updates the progress of the service's move. A new step starts a new
  /// interval. The circuit breaker is paused at full share, where the old
  /// version has no calls to compare with, and after a step back, when calls of
  /// two shares mix.
  void updateProgress(const move_rule &Rule, const move_progress &Progress);

  /// Counts a completed call. Returns the reason for a take-back if the new
  /// version is to be taken back.
  std::optional<std::string> record(const service_name &Service,
                                    const version_name &Version, bool Failed);

private:
  struct tracked_move {
    move_id Id;
    version_name From;
    version_name To;
    unsigned Step = 0;
    bool Paused = true;
    std::vector<event_counts> Intervals;
  };

  static std::optional<std::string> evaluate(const tracked_move &Move);

  std::map<service_name, tracked_move> Moves;
};

} // namespace chivebeam
