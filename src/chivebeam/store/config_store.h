#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/units.h"
#include "net/asio_types.h"

namespace chivebeam {

using lease_id = basic_number<struct lease_tag>;

struct store_entry {
  std::string Key;
  std::string Value;
  store_revision ModifiedAt; ///< zero: the key does not exist
};

struct range_answer {
  store_revision Revision; ///< of the whole store when it answered the request
  std::vector<store_entry> Entries;
};

/// Condition of a transaction: the key was last modified at this revision;
/// zero means that it does not exist.
struct store_condition {
  std::string Key;
  store_revision ModifiedAt;
};

struct store_put {
  std::string Key;
  std::string Value;
  lease_id Lease; ///< zero: no lease
};

struct store_transaction {
  std::vector<store_condition> Conditions;
  std::vector<store_put> Puts;
};

struct transaction_answer {
  bool Succeeded = false; ///< false: a condition did not hold
  store_revision Revision;
};

struct watch_event {
  store_entry Entry;
  bool Deleted = false;
};

/// Client of the platform's key-value service. Each call has a deadline. The
/// error kind of a failed call is unavailable if it took no effect, and
/// unknown_effect if it may have. Runs on the caller's io_context; not thread
/// safe.
class config_store {
public:
  using watch_handler =
      std::function<void(store_revision, const std::vector<watch_event> &)>;

  using era_handler = std::function<void(store_era)>;

  virtual ~config_store() = default;

  /// Sets the handler that is called with the era in each answer. A store
  /// without eras never calls it.
  virtual void setEraHandler(era_handler) {}

  /// Sets the longest time in which the store answers a watch that has no
  /// changes to report. A watch that is not answered much longer than this
  /// ends.
  virtual void setWatchInterval(milliseconds) {}

  /// Reads one key, or with IsPrefix all keys that start with it.
  virtual awaitable<result<range_answer>> range(std::string Key,
                                                bool IsPrefix) = 0;
  /// Reads all keys under Prefix. The result may be some seconds old on
  /// services where stale reads are cheaper.
  virtual awaitable<result<range_answer>> staleRange(std::string Prefix) {
    return range(std::move(Prefix), true);
  }
  /// Reads up to Limit keys under Prefix that sort after the key After, in key
  /// order. \pre Limit > 0.
  virtual awaitable<result<range_answer>>
  page(std::string Prefix, std::string After, unsigned Limit) = 0;
  virtual awaitable<result<transaction_answer>>
  commit(store_transaction Transaction) = 0;
  virtual awaitable<result<lease_id>> grantLease(seconds TimeToLive) = 0;
  /// Returns false if the lease has expired.
  virtual awaitable<result<bool>> keepLease(lease_id Lease) = 0;
  virtual awaitable<result<void>> revokeLease(lease_id Lease) = 0;
  /// Reports changes under Prefix from a revision on, and each answer without
  /// changes. Returns when the connection is lost, or with kind not_found if
  /// the revision was compacted.
  virtual awaitable<error> watch(std::string Prefix, store_revision From,
                                 watch_handler Handler) = 0;
  /// Ends a running watch.
  virtual void cancelWatch() = 0;
};

} // namespace chivebeam
