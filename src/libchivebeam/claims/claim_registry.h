#pragma once

#include <deque>
#include <map>

#include "claims/claim.h"

namespace chivebeam {

/// State of a claim in the owner's memory.
enum class claim_state {
  pending,   ///< requested, not yet durable
  abandoned, ///< pending, but its holder was refused; to be released
  claimed,   ///< durable; the call may be running
  unknown,   ///< durable; its holder does not know whether the call ran
  ran,       ///< the call ran
};

struct claim_entry {
  claim_state State = claim_state::pending;
  claim_record Claim;
  unsigned Status = 0;
};

/// Holds the claims of one log that are within the retention time. Not thread
/// safe.
class claim_registry {
public:
  /// Applies a durable record. Records must come in the order of the log.
  void apply(const claim_record &Record);
  /// Adds a claim that is not durable yet. \pre the key is not in the registry.
  void addPending(const claim_record &Claim);
  claim_entry *find(const claim_key &Key);
  void erase(const claim_key &Key) { Entries.erase(Key); }
  /// Removes durable claims made before Limit.
  void removeClaimsBefore(instant Limit);
  std::size_t size() const { return Entries.size(); }

private:
  struct aged_key {
    instant At;
    claim_key Key;
  };

  std::map<claim_key, claim_entry> Entries;
  std::deque<aged_key> KeysByAge; ///< oldest first
};

} // namespace chivebeam
