#pragma once

#include "membership/member_record.h"

namespace chivebeam {

/// Decides how a node reacts to a received record with its own node id that
/// supersedes its own record. A record that the node itself wrote, perhaps
/// before a restart, is refuted. If such records keep arriving with another
/// address, two processes use the same id: the one with the lower address
/// continues to refute, the other stops refuting until the conflict ends. Reads
/// no clock; not thread safe.
class identity_guard {
public:
  /// Returns true if the node is to refute Conflicting with a higher
  /// incarnation of its own record.
  bool shouldRefute(const member_record &Conflicting, const member_record &Self,
                    instant Now);
  /// True while another process uses the same node id.
  bool inConflict(instant Now) const;
  /// Address of the other process in the latest conflict.
  const address &otherAddress() const { return OtherAddress; }

private:
  address OtherAddress;
  instant LastConflictAt;
  unsigned ConflictCount = 0;
};

} // namespace chivebeam
