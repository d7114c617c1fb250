#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/address.h"
#include "base/random.h"
#include "config/config_head.h"
#include "config/config_source.h"

namespace chivebeam {

/// How a peer answered when asked for its source.
enum class fetch_outcome {
  taken,    ///< it gave the source that its head promised, or a newer one
  busy,     ///< it answers too many others; it is alive
  not_used, ///< what it gave is not newer than the source held, or was refused
  mismatched, ///< what it gave compiles to another digest than its head's
  failed      ///< no answer, or one that can't be read
};

std::string_view toString(fetch_outcome Outcome);

/// A peer to ask, and the head that it has shown.
struct fetch_target {
  address Holder;
  config_head Head;
};

/// Decides which peer to ask for a newer source: the highest number first,
/// among its holders the one with the fewest failures, equals by chance, so
/// that nodes ask different holders as more of them have it. A holder that
/// fails is asked again after a growing, jittered delay and given up on after
/// several failures. One request is in flight at a time. Not thread safe.
class source_fetch {
public:
  explicit source_fetch(std::uint64_t Seed) : Random(Seed) {}

  /// A peer has shown the head that it holds.
  void headSeen(const config_head &Head, const address &Holder, instant Now);

  /// Returns the peer to ask now, if one is due. A source that was refused is
  /// not asked for. The caller must report the end with finished().
  std::optional<fetch_target> next(config_number Held, config_number Refused,
                                   instant Now);
  void finished(const fetch_target &Target, fetch_outcome Outcome, instant Now);

  /// Notes that a holder gave a source that does not fit its head's digest.
  /// Returns true once two holders gave the same one: then their programs
  /// compile it to another digest, and the source itself can be trusted.
  bool confirmMismatch(const config_source &Source, const address &Holder);

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

  bool isGivenUp(const holder &Holder) const;
  bool evictLowestHead(config_number Number);
  microseconds jittered(microseconds Base);

  random_source Random;
  std::map<address, holder> Holders;
  std::optional<mismatch> Mismatch;
  bool InFlight = false;
};

} // namespace chivebeam
