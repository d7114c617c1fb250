#pragma once

#include "base/units.h"

namespace chivebeam {

/// The times of a node that is about to stop, and which calls it still starts.
/// A plain value.
class stop_schedule {
public:
  /// \param Started when the node was told to stop
  /// \param Grace time from then until its process is killed
  stop_schedule(instant Started, microseconds Grace);

  /// Returns when callers use other nodes at the latest: they check the
  /// readiness of a node every second and stop using it after two failed
  /// checks.
  instant callersGoneAt() const { return CallersGoneAt; }
  /// Returns until when calls run. The rest of the grace period is left for
  /// answers and for the exit of the process.
  instant runUntil() const { return RunUntil; }
  /// Returns until when calls that are still open are answered.
  instant answerUntil() const { return AnswerUntil; }
  /// True if a call that may start now ends before this node gives it up: at
  /// its deadline at the latest, or since it usually takes this time.
  bool mayStart(instant Deadline, microseconds UsualTime, instant Now) const;

private:
  instant CallersGoneAt;
  instant RunUntil;
  instant AnswerUntil;
};

} // namespace chivebeam
