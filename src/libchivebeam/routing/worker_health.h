#pragma once

#include "base/units.h"

namespace chivebeam {

/// Health of one backend server, derived from the results of real calls at one
/// entry node. Takes the server out of use after repeated failures, longer each
/// time, and then tries it with a single call before it is used again. A plain
/// value; not thread safe.
class worker_health {
public:
  void succeeded();
  void failed(instant Now);
  /// The home node cannot be reached: takes the server out of use at once.
  void unreachable(instant Now);
  /// The trial call was cancelled or refused; another trial may follow.
  void trialInconclusive() { TrialRunning = false; }

  /// True while the server must not be used, including during a trial call.
  bool ejected(instant Now) const;
  /// True if the server is out of use but may be tried with one call.
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
