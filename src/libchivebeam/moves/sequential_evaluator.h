#pragma once

#include "moves/interval_counts.h"
#include "moves/move_evaluator.h"

namespace chivebeam {

/// Settings of sequential_evaluator. The error rates are the probabilities that
/// a good version is evaluated as bad in one move. Their sum bounds the rate of
/// false take-backs of one evaluating node.
struct evaluator_settings {
  double MoveErrorRate = 0.0015;   ///< over all steps together
  double RecentErrorRate = 0.0005; ///< over all recent windows together
  double SuspectErrorRate = 0.002; ///< compared with the old version's past
  /// Number of latency buckets above the bucket of the old version's 90th
  /// percentile that do not yet count as slow. One bucket, so that a small
  /// difference across a bucket boundary does not count.
  std::size_t SlowBucketMargin = 1;
  /// Maximum failure rate of the old version in a step. Above it, the step is
  /// no evidence that the new version is good, and the share is not raised.
  double MaxOldFailureRate = 1;
};

/// Evaluates a move by sequential tests whose error rates hold however often
/// they are evaluated (see docs/design/moves.md). Compares failures and slow
/// calls for each route and for the sum over all routes. A call is slow if it
/// takes clearly longer than the 90th percentile of the old version's calls.
class sequential_evaluator : public move_evaluator {
public:
  explicit sequential_evaluator(evaluator_settings NewSettings = {})
      : Settings(NewSettings) {}

  evaluation_result evaluate(const move_evidence &Evidence) const override;

private:
  /// True if the old version fails so often that failures of the new version
  /// could not be distinguished from them.
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
