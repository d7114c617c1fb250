#pragma once

#include "membership/home_record.h"

namespace chivebeam {

/// Returns whether a node of the failure domain Own, to which From sent a newer
/// record, passes it on to a subscriber in the failure domain Subscriber. A
/// record crosses between two failure domains only from the one that it comes
/// from, so that it arrives a bounded number of times. Thread safe.
inline bool passesOn(const home_record &Record, const node_id &From,
                     const failure_domain &Own,
                     const failure_domain &Subscriber) {
  return Record.Node == From || Record.Domain == Own || Subscriber == Own;
}

} // namespace chivebeam
