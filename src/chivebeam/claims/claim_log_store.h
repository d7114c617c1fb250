#pragma once

#include "claims/claim_shard.h"
#include "store/config_store.h"
#include "store/store_keys.h"

namespace chivebeam {

/// Stores the claim log of one service in the platform's store. Each segment
/// has its own key, which is created only if it does not exist and the head is
/// unchanged; segment and head are written in one transaction. Segments are
/// attached to leases that are never renewed, so that the store deletes them
/// after the retention time; the head stays. Not thread safe.
class claim_log_store {
public:
  /// \pre Store outlives this object. Retention is the minimum time for which a
  /// segment is kept.
  claim_log_store(config_store &Store, const fleet_name &Fleet,
                  service_name Service, seconds Retention);

  /// Returns nothing if the store fails or a segment can't be decoded.
  awaitable<std::optional<claim_log>> load();
  struct commit_result {
    commit_end End = commit_end::failed;
    log_position Head;
  };
  awaitable<commit_result> commit(const claim_segment &Segment,
                                  log_position Head, instant Now);
  awaitable<std::optional<read_back_result>> readBack(claim_sequence Sequence);

private:
  awaitable<bool> loadSegments(claim_log &Log);
  static bool addSegment(const store_entry &Entry, claim_log &Log);
  awaitable<bool> ensureLease(instant Now);

  config_store &Store;
  store_keys Keys;
  service_name Service;
  seconds Retention;
  lease_id Lease;
  instant LeaseUsableUntil;
};

} // namespace chivebeam
