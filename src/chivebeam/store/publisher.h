#pragma once

#include "config/config_source.h"
#include "config/snapshot.h"
#include "store/config_store.h"
#include "store/store_keys.h"
#include "store/store_records.h"

namespace chivebeam {

enum class publish_outcome {
  done,        ///< the store took it
  unchanged,   ///< the newest configuration says the same; nothing was written
  refused,     ///< it would harm moves or is too large; see Problems
  lost_race,   ///< another publication was first; Source is the winner
  unavailable, ///< the store did not answer; nothing was written
  unknown      ///< the store may have taken it
};

struct publish_report {
  publish_outcome Outcome = publish_outcome::unavailable;
  config_source Source; ///< as published, as it stands, or the winner's
  config_digest Digest;
  error_list Problems;
};

struct publish_request {
  config_source Draft; ///< register, rules, publish id and time
  snapshot_ptr Compiled;
  /// The number is set above this one, which the fleet was seen to hold.
  config_number FleetNumber;
  bool MayDropMoves = false;
};

/// Publishes a configuration with one compare-and-swap. A commit whose answer
/// was lost is sent again: it carries its conditions with it, so it takes
/// effect at most once, and its publish id tells whether it was the one that
/// did. Not thread safe.
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
  awaitable<void> resolveRefusedCommit(publish_report &Report);

  config_store &Store;
  store_keys Keys;
};

} // namespace chivebeam
