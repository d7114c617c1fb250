#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/address.h"
#include "base/random.h"
#include "config/config_head.h"
#include "config/config_source.h"

namespace chivebeam {

/// Result of requesting a configuration source from a peer.
enum class fetch_outcome {
  taken,      ///< a newer source was received and applied
  busy,       ///< the peer is alive but serves too many other requests
  not_used,   ///< the source is not newer than this node's, or was refused
  mismatched, ///< the source does not compile to the digest of the head
  failed      ///< no answer, or an invalid one
};

/// Returns the name that logs use for Outcome.
std::string_view toString(fetch_outcome Outcome);

/// A peer to request a source from, and the head that it has reported.
struct fetch_target {
  address Holder;
  config_head Head;
};

/// Selects the peer from which to fetch a newer configuration source. It
/// prefers the highest number, then the holder with the fewest failures, and
/// chooses at random among equal ones, so that the requests of many nodes
/// spread over all holders. A holder that fails is retried with jittered
/// exponential backoff, and skipped for a while after several failures. Only
/// one request is in flight at a time. Not thread safe.
class source_fetch {
public:
  explicit source_fetch(std::uint64_t Seed) : Random(Seed) {}

  /// Records the head that a peer has reported.
  void headSeen(const config_head &Head, const address &Holder, instant Now);

  /// Returns the peer to ask now, or nothing if no request is due. Skips heads
  /// with the number RefusedNumber, and removes holders with no newer source
  /// than OwnNumber. The caller must report the result with finished().
  std::optional<fetch_target> next(config_number OwnNumber,
                                   config_number RefusedNumber, instant Now);
  /// Records the result of a request that next() started.
  void finished(const fetch_target &Target, fetch_outcome Outcome, instant Now);

  /// Records that a holder sent a source that does not compile to the digest of
  /// its head. Returns true if the previous such source was the same and came
  /// from another holder: the source can then be trusted, and the digests
  /// differ because the holders' programs compile it differently.
  bool confirmMismatch(const config_source &Source, const address &Holder);

  /// Returns the number of holders that are tracked.
  std::size_t holderCount() const { return Holders.size(); }

private:
  struct holder {
    config_head Head;
    unsigned Failures = 0;
    instant RetryAt;
  };
  struct mismatch {
    config_number Number;
    std::size_t ContentHash = 0;
    address Holder;
  };

  /// True if the holder has failed too often and is skipped for a while.
  bool isGivenUp(const holder &Holder) const;
  /// Makes space for a holder of Number, if necessary by removing the holder of
  /// the lowest number. Returns false if all tracked numbers are at least
  /// Number.
  bool evictLowestHead(config_number Number);
  /// Returns Base multiplied by a random factor in [0.5, 1.5).
  microseconds jittered(microseconds Base);

  random_source Random;
  std::map<address, holder> Holders;
  std::optional<mismatch> Mismatch;
  bool InFlight = false;
};

} // namespace chivebeam
