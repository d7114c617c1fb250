#pragma once

#include "base/units.h"

namespace chivebeam {

/// Judges one backend server by the outcomes of real calls, as one entry node
/// sees them: takes it out of use after repeated failures, for longer each
/// time, and then tries it with a single call before it is used again.
/// A plain value; not thread safe.
class worker_health {
public:
  void succeeded();
  void failed(instant Now);
  /// Its home node can't be reached: out of use at once.
  void unreachable(instant Now);
  /// The trial call was broken off; the next call may be another trial.
  void trialInconclusive() { TrialRunning = false; }

  /// True while it must not be used, also while a trial call runs.
  bool ejected(instant Now) const;
  /// True if it is out of use but may be tried with one call.
  bool trialDue(instant Now) const;
  void trialStarted() { TrialRunning = true; }
  /// True from an ejection until a trial call succeeds.
  bool outOfUse() const { return OutOfUse; }

private:
  void eject(instant Now);

  unsigned Consecutive = 0;
  unsigned Samples = 0;
  double FailureRate = 0.0;
  unsigned Ejections = 0;
  instant EjectedUntil;
  bool OutOfUse = false;
  bool TrialRunning = false;
};

} // namespace chivebeam
