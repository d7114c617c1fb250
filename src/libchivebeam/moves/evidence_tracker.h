#pragma once

#include "config/rule_set.h"
#include "moves/evidence_registry.h"
#include "moves/move_observation.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// Ready workers of both versions, as far as this node knows them.
struct worker_counts {
  unsigned Old = 0;
  unsigned New = 0;
  unsigned NewSlots = 0;
  unsigned Wanted = 0; ///< target number for each version
};

/// Tracks the evidence of one move: the windows of its steps, the recent window
/// and the old version's worst interval. Not thread safe.
class evidence_tracker {
public:
  void addReport(const evidence_report &Report, instant Now);

  /// Returns the observation on which the decision at Now is based. Starts new
  /// windows when the move enters a new step and when the recent window has
  /// reached its length.
  move_observation observe(const move_rule &Rule, const move_progress &Progress,
                           const worker_counts &Workers, instant Now);

private:
  /// True if a new step's window should start. A lower share needs some time to
  /// reach every node and to appear in the reports; until then, calls count for
  /// the previous step. A rise needs no such delay: late calls of the lower
  /// share can only make the new version look better.
  bool isNewStep(const move_rule &Rule, const move_progress &Progress,
                 instant Now) const;
  void startStepWindow(const move_rule &Rule, const move_progress &Progress,
                       instant Now);
  void startRecentWindow(const move_rule &Rule, instant Now);
  void updateWorstInterval(const evidence_by_route &Old);
  void measureTraffic(const move_rule &Rule, const evidence_window &Window,
                      instant Now);

  evidence_registry Registry;
  unsigned WindowStep = 0;
  unsigned WindowShare = 0;
  unsigned WindowStepsBack = 0;
  std::vector<evidence_window> Earlier;
  evidence_by_route OldInterval; ///< not yet complete
  evidence_by_route WorstOldInterval;
  instant FirstReportAt;
  instant RecentStart;
  instant TooFewWorkersSince;
  std::uint64_t CallsPerMinute = 0;
  microseconds MeanDuration{0};
  bool TrafficKnown = false;
};

} // namespace chivebeam
