#include "limits/answer_pace.h"

#include <algorithm>

namespace chivebeam {

transfer_progress answer_pace::observe(instant Now, std::uint64_t TakenBytes,
                                       const door_limits &Limits) {
  if (!Mark)
    Mark = mark{Now, TakenBytes};
  transfer_progress Progress{std::max(TakenBytes, Mark->TakenBytes) -
                                 Mark->TakenBytes,
                             Now - Mark->At, true};
  if (Progress.Bytes > 0 && !crowd_control::isSlow(Progress, Limits)) {
    Mark = mark{Now, TakenBytes};
    return {0, microseconds(0), true};
  }
  return Progress;
}

} // namespace chivebeam
