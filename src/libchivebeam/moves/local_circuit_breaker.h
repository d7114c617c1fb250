#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/rule_set.h"
#include "moves/event_comparison.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// Compares both versions by the calls that one entry node itself passed on,
/// and asks for a take-back on strong evidence, without waiting for the move's
/// owner. A good version is stopped by one brake in at most one of a million
/// moves, so that the brakes of a whole fleet together stay far below the
/// owner's own error rate. Only failures count. Not thread safe.
class local_circuit_breaker {
public:
  static constexpr double ErrorRate = 1e-6;

  /// Tells how far the service's move is. A new share starts a new stretch.
  /// The brake rests at full share, where nothing can be compared, and after
  /// a step back, when calls of two shares mix.
  void updateProgress(const move_rule &Rule, const move_progress &Progress);

  /// Counts a call that ended. Returns why the new version is to be taken
  /// back, if it is.
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
