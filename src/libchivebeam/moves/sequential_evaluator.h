#pragma once

#include "moves/interval_counts.h"
#include "moves/move_evaluator.h"

namespace chivebeam {

/// How often a good version may be judged bad in one move, for each look. The
/// sum over both looks bounds the false take-back rate of one looker.
struct evaluator_settings {
  double MoveErrorRate = 0.0015;   ///< over all steps together
  double RecentErrorRate = 0.0005; ///< over all recent windows together
  double SuspectErrorRate = 0.002; ///< against the old version's record
  /// Buckets above the one that holds nine in ten of the old version's calls:
  /// a call beyond is slow. One bucket, so that a small difference across a
  /// bucket's edge does not count.
  std::size_t SlowBucketMargin = 1;
  /// Failed part of the old version's calls in a step from which on that step
  /// shows nothing good of the new one either: it is not raised on them.
  double MaxOldFailureRate = 1;
};

/// Judges by evidence that stays valid however often it is looked at (see
/// docs/design/moves.md). Failures and slow calls are compared for each route
/// and summed over routes. A call is slow if it takes clearly longer than nine
/// in ten calls of the old version.
class sequential_evaluator : public move_evaluator {
public:
  explicit sequential_evaluator(evaluator_settings NewSettings = {})
      : Settings(NewSettings) {}

  evaluation_result evaluate(const move_evidence &Evidence) const override;

private:
  /// True if the old version fails so often that no failure of the new one
  /// would stand out.
  bool isTooNoisy(const evidence_window &Window) const;
  evaluation_result compareWithWorst(const move_evidence &Evidence,
                                     const evidence_by_route &Baseline,
                                     const slow_bounds &Bounds) const;
  evaluation_result compareAfterSuspicion(const move_evidence &Evidence,
                                          const evidence_by_route &Baseline,
                                          const slow_bounds &Bounds) const;

  evaluator_settings Settings;
};

} // namespace chivebeam
