#pragma once

#include <string>

#include "moves/evidence.h"

namespace chivebeam {

enum class evaluation_outcome {
  undecided, ///< too little evidence, or some evidence against it
  good,      ///< no evidence against the new version
  suspect,   ///< worse than the old version was; not comparable now
  bad,       ///< worse than the old version
};

std::string_view toString(evaluation_outcome Outcome);

struct evaluation_result {
  evaluation_outcome Outcome = evaluation_outcome::undecided;
  std::string Reason;     ///< one sentence with the measured values
  double LogEvidence = 0; ///< against the new version, natural logarithm
};

/// Compares a new version with the old one over the same interval.
class move_evaluator {
public:
  virtual ~move_evaluator() = default;
  /// Thread safe. The result depends on Evidence alone.
  virtual evaluation_result evaluate(const move_evidence &Evidence) const = 0;
};

} // namespace chivebeam
