#pragma once

#include "config/rule_set.h"
#include "moves/evidence_registry.h"
#include "moves/move_observation.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// The workers of both versions as membership shows them.
struct worker_counts {
  unsigned Old = 0;
  unsigned New = 0;
  unsigned NewSlots = 0;
  unsigned Wanted = 0;
};

/// Keeps the evidence on one move: the windows of the steps, the recent window
/// and the old version's worst stretch. Not thread safe.
class evidence_tracker {
public:
  void addReport(const evidence_report &Report, instant Now);

  /// Returns what the move is decided by at Now. A new step starts a new
  /// window.
  move_observation observe(const move_rule &Rule, const move_progress &Progress,
                           const worker_counts &Workers, instant Now);

private:
  /// A lower share takes a while to reach every node and to show in the
  /// reports. Until then, calls count for the step before. After a rise, calls
  /// that ran at the lower share only make the new version look better.
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
  evidence_by_route OldInterval; ///< being collected
  evidence_by_route WorstOldInterval;
  instant FirstReportAt;
  instant RecentStart;
  instant TooFewWorkersSince;
  std::uint64_t CallsPerMinute = 0;
  microseconds MeanDuration{0};
  bool TrafficKnown = false;
};

} // namespace chivebeam
