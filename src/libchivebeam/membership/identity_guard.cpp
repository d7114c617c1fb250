#include "membership/identity_guard.h"

namespace chivebeam {

namespace {

/// A restarted node meets its old record a few times at most.
constexpr unsigned OldRecordsAfterRestart = 3;
/// Claims further apart than this are not of one conflict.
constexpr seconds ConflictWindow{60};

} // namespace

bool identity_guard::inConflict(instant Now) const {
  return ConflictCount > OldRecordsAfterRestart &&
         Now < LastConflictAt + ConflictWindow;
}

bool identity_guard::shouldRefute(const member_record &Conflicting,
                                  const member_record &Self, instant Now) {
  bool IsOther =
      Conflicting.Peer != Self.Peer && Conflicting.State != member_state::dead;
  if (!IsOther)
    return true;
  if (Conflicting.Peer != OtherAddress ||
      Now >= LastConflictAt + ConflictWindow)
    ConflictCount = 0;
  OtherAddress = Conflicting.Peer;
  LastConflictAt = Now;
  ++ConflictCount;
  return ConflictCount <= OldRecordsAfterRestart ||
         Self.Peer < Conflicting.Peer;
}

} // namespace chivebeam
