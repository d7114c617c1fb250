#include "moves/move_progress.h"

#include <tuple>

namespace chivebeam {

std::string_view toString(move_phase Phase) {
  switch (Phase) {
  case move_phase::stepping:
    return "stepping";
  case move_phase::deciding:
    return "deciding";
  case move_phase::taken_back:
    return "taken_back";
  }
  return "stepping";
}

std::string_view toString(move_verdict Verdict) {
  switch (Verdict) {
  case move_verdict::none:
    return "none";
  case move_verdict::done:
    return "done";
  case move_verdict::taken_back:
    return "taken_back";
  }
  return "none";
}

namespace {

/// Returns a key that orders all copies; the greater copy is kept. Times, share
/// and reason break ties, so that the result does not depend on the order of
/// arrival. An earlier time and a smaller share count as greater.
auto rank(const move_progress &Progress) {
  return std::make_tuple(Progress.Recorded, Progress.Phase, Progress.Step,
                         -Progress.DecidedAt.time_since_epoch().count(),
                         -Progress.StepSince.time_since_epoch().count(),
                         -static_cast<std::int64_t>(Progress.Share),
                         Progress.StepsBack, Progress.To, Progress.Reason);
}

} // namespace

move_progress join(const move_progress &Left, const move_progress &Right) {
  return rank(Left) < rank(Right) ? Right : Left;
}

} // namespace chivebeam
