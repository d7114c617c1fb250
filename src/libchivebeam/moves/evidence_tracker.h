#pragma once

#include "config/rule_set.h"
#include "moves/evidence_book.h"
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
  void offer(const evidence_report &Report, instant Now);

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
  void beginStep(const move_rule &Rule, const move_progress &Progress,
                 instant Now);
  void beginRecent(const move_rule &Rule, instant Now);
  void keepWorst(const evidence_by_route &Old);
  void measureTraffic(const move_rule &Rule, const evidence_window &Window,
                      instant Now);

  evidence_book Book;
  unsigned MarkedStep = 0;
  unsigned MarkedShare = 0;
  unsigned MarkedStepsBack = 0;
  std::vector<evidence_window> Earlier;
  evidence_by_route OldStretch; ///< being collected
  evidence_by_route WorstOld;
  instant FirstReport;
  instant RecentSince;
  instant ShortSince;
  std::uint64_t CallsPerMinute = 0;
  microseconds MeanDuration{0};
  bool TrafficKnown = false;
};

} // namespace chivebeam
