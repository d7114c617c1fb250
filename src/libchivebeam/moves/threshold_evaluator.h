#pragma once

#include "moves/move_evaluator.h"

namespace chivebeam {

/// Calls a version bad when its share of failures exceeds the old version's
/// by a fixed margin. The baseline that other judges are measured against.
class threshold_evaluator : public move_evaluator {
public:
  evaluation_result evaluate(const move_evidence &Evidence) const override;
};

} // namespace chivebeam
