#pragma once

#include "membership/member_record.h"

namespace chivebeam {

/// Decides what a node does about a record under its own node id that beats
/// its own. An old record of its own, or one from before a restart, is
/// overtaken. When another process keeps raising the record from another
/// address, two processes run under one id: the one with the lower address
/// stays, the other stops contending until that one is gone. A pure state
/// machine; not thread safe.
class identity_guard {
public:
  /// Returns true if the node is to overtake Claim by a higher incarnation.
  bool shouldRefute(const member_record &Conflicting, const member_record &Self,
                    instant Now);
  /// True while another process uses this node's id.
  bool inConflict(instant Now) const;
  /// The address of the other process of the last conflict.
  const address &otherAddress() const { return OtherAddress; }

private:
  address OtherAddress;
  instant LastConflictAt;
  unsigned ConflictCount = 0;
};

} // namespace chivebeam
