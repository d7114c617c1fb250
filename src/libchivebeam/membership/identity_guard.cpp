#include "membership/identity_guard.h"

namespace chivebeam {

namespace {

/// A restarted node receives its own old record at most a few times.
constexpr unsigned OldRecordsAfterRestart = 3;
/// Records that are further apart than this belong to separate conflicts.
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
