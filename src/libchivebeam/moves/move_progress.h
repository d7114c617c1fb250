#pragma once

#include <string>

#include "base/names.h"
#include "base/units.h"

namespace chivebeam {

enum class move_phase {
  stepping = 0,   ///< the share is that of the current step
  deciding = 1,   ///< all steps passed; the verdict is not yet recorded
  taken_back = 2, ///< the share is zero and stays zero
};

enum class move_verdict { none, done, taken_back };

std::string_view toString(move_phase Phase);
std::string_view toString(move_verdict Verdict);

/// State of a move as shared between all nodes. Different copies are joined:
/// the later step wins over the earlier one, a take-back wins over every step,
/// and the verdict recorded in the store, which is written only once, wins over
/// both. A plain value.
struct move_progress {
  move_id Id;
  move_phase Phase = move_phase::stepping;
  unsigned Step = 0;  ///< 0 before the first step
  instant StepSince;  ///< when the step began
  instant DecidedAt;  ///< when the phase became deciding or taken_back
  std::string Reason; ///< one sentence: why it was taken back or is done
  move_verdict Recorded = move_verdict::none;
  version_name To;    ///< target version; empty before step 1
  unsigned Share = 0; ///< of the new version at this step
  unsigned StepsBack =
      0; ///< how often the share was lowered for a new comparison

  friend bool operator==(const move_progress &,
                         const move_progress &) = default;
};

/// Joins two copies of the progress. Commutative, associative and idempotent.
/// \pre both copies belong to the same move.
move_progress join(const move_progress &Left, const move_progress &Right);

/// The share of all calls; shares are given in parts per ten thousand.
inline constexpr unsigned FullShare = 10'000;

} // namespace chivebeam
