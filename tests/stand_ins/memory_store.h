#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "store/config_store.h"

namespace chivebeam::stand_ins {

/// The data of a store stand-in: keys with revisions, leases and the history of
/// changes. The caller passes the current time. Not thread safe.
class memory_store {
public:
  /// Reads the keys from Key up to End (exclusive), or only Key if End is
  /// empty. A Limit above zero is the largest number of entries returned.
  range_answer range(const std::string &Key, const std::string &End,
                     std::uint64_t Limit = 0) const;
  transaction_answer commit(const store_transaction &Transaction);
  lease_id grant(seconds TimeToLive, instant Now);
  /// Renews a lease; returns its time to live, or zero if it has expired.
  seconds keep(lease_id Lease, instant Now);
  void revoke(lease_id Lease);
  /// Revokes the leases that have expired by Now, which deletes their keys.
  void expire(instant Now);
  /// Revokes all leases, which deletes their keys.
  void lapseAll();

  struct change {
    store_revision Revision;
    watch_event Event;
  };
  std::vector<change> changesSince(const std::string &Key,
                                   const std::string &End,
                                   store_revision From) const;
  store_revision revision() const { return Revision; }

private:
  struct item {
    store_entry Entry;
    lease_id Lease;
  };
  struct lease {
    seconds TimeToLive;
    instant Ends;
  };

  void put(const store_put &Put);
  void erase(const std::string &Key);

  store_revision Revision{1};
  std::map<std::string, item> Items;
  std::map<lease_id, lease> Leases;
  std::vector<change> Changes;
  std::uint64_t NextLease = 1000;
};

} // namespace chivebeam::stand_ins
