#pragma once

#include "base/address.h"
#include "chivebeam_types.h"
#include "membership/member_record.h"
#include "moves/evidence.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// Converts a number from the wire to an enumerator. An unknown number gives
/// the enumerator zero.
template <typename Enum> Enum toEnum(std::int32_t Raw, Enum Highest) {
  bool Known = Raw >= 0 && Raw <= static_cast<std::int32_t>(Highest);
  return static_cast<Enum>(Known ? Raw : 0);
}

/// Convert values of the core to Thrift structs and back, for structs that
/// several messages share. Thread safe.
wire::address toWire(const address &Address);
address fromWire(const wire::address &In);
wire::worker_record toWire(const worker_record &Worker);
worker_record fromWire(const wire::worker_record &In);
wire::move_progress toWire(const move_progress &Progress);
move_progress fromWire(const wire::move_progress &In);
wire::route_evidence toWire(const route_evidence &Evidence);
route_evidence fromWire(const wire::route_evidence &In);
wire::evidence_report toWire(const evidence_report &Report);
evidence_report fromWire(const wire::evidence_report &In);

} // namespace chivebeam
