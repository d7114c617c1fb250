#pragma once

#include <deque>
#include <map>

#include "claims/claim.h"

namespace chivebeam {

/// How far a claim in the owner's memory has come.
enum class claim_state {
  pending,   ///< asked for, not yet durable
  abandoned, ///< as pending, but its holder was refused; to be released
  claimed,   ///< durable; the call may be running
  unknown,   ///< durable; its holder does not know if the call ran
  ran,       ///< the call ran
};

struct claim_entry {
  claim_state State = claim_state::pending;
  claim_record Claim;
  unsigned Status = 0;
};

/// All claims of one log that are within the retention time. Not thread safe.
class claim_registry {
public:
  /// Takes in a durable record, in the order of the log.
  void apply(const claim_record &Record);
  /// Adds a claim that is not durable yet. \pre the key is not in the book.
  void addPending(const claim_record &Claim);
  claim_entry *find(const claim_key &Key);
  void erase(const claim_key &Key) { Entries.erase(Key); }
  /// Removes claims made before Limit.
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
