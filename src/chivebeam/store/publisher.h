#pragma once

#include "config/config_source.h"
#include "config/snapshot.h"
#include "store/config_store.h"
#include "store/store_keys.h"
#include "store/store_records.h"

namespace chivebeam {

enum class publish_outcome {
  done,        ///< the configuration is stored
  unchanged,   ///< the newest configuration is equal; nothing was written
  refused,     ///< it conflicts with moves or is too large; see Problems
  lost_race,   ///< another publication was first; Source holds that one
  unavailable, ///< the store did not respond; nothing was written
  unknown      ///< the configuration may have been stored
};

struct publish_report {
  publish_outcome Outcome = publish_outcome::unavailable;
  config_source Source; ///< as published, or the one that is in the store
  config_digest Digest;
  error_list Problems;
};

struct publish_request {
  config_source Draft; ///< register, rules, publish id and time
  snapshot_ptr Compiled;
  /// Highest number that is known to be in use in the fleet; the published
  /// number is higher.
  config_number FleetNumber;
  bool MayDropMoves = false;
};

/// Publishes a configuration with one compare-and-swap. A commit whose answer
/// is lost is sent again: its conditions ensure that it takes effect at most
/// once, and the publish id in the store shows whether it did. Not thread safe.
class publisher {
public:
  /// \pre Store outlives the publisher.
  publisher(config_store &Store, const fleet_name &Fleet)
      : Store(Store), Keys(Fleet) {}

  /// \pre Request.Compiled is what Request.Draft compiles to.
  awaitable<publish_report> publish(publish_request Request);

private:
  struct newest_config {
    config_source Source;
    store_revision HeadModifiedAt;
  };

  awaitable<result<newest_config>> readNewest();
  awaitable<result<error_list>> findConflicts(const publish_request &Request,
                                              const newest_config &Newest);
  awaitable<void> commit(publish_report &Report, store_revision HeadModifiedAt);
  /// Finds out whether a refused commit had taken effect in an earlier attempt
  /// or another publication was first.
  awaitable<void> resolveRefusedCommit(publish_report &Report);

  config_store &Store;
  store_keys Keys;
};

} // namespace chivebeam
