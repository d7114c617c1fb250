#pragma once

#include "moves/move_evaluator.h"

namespace chivebeam {

/// Evaluates a version as bad if its failure rate exceeds the old version's by
/// a fixed margin. The baseline that other evaluators are compared with in
/// benchmarks.
class threshold_evaluator : public move_evaluator {
public:
  evaluation_result evaluate(const move_evidence &Evidence) const override;
};

} // namespace chivebeam
