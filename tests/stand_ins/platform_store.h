#pragma once

#include <map>
#include <memory>
#include <vector>

#include <boost/json.hpp>

#include "net/http_service.h"

namespace chivebeam::stand_ins {

/// An in-memory metadata store that serves the users' platform's HTTP protocol:
/// items with revisions, leases, conditional transactions and long-polling
/// watches. Its switches cause the faults that the platform's pages allow.
class platform_store {
public:
  /// Faults of the store.
  struct switches {
    bool Down = false;            ///< answers 503 to everything
    bool TooManyRequests = false; ///< answers 429 to everything
    bool LoseWrites = false;      ///< writes take effect but get no answer
    bool Compacted = false;       ///< answers 410 to the next watch
    milliseconds Delay{0};        ///< before each answer
  };

  explicit platform_store(asio::io_context &Context);

  /// Listens on a port that the kernel chooses; may be called more than once.
  address listen();
  /// Sets whether calls to one of the addresses get no answer until this is
  /// taken back. Connections stay open.
  void setSilent(const address &At, bool IsSilent);
  /// Lets the watches that wait now never answer. New calls are answered.
  void silenceWatches() { ++WatchGeneration; }

  /// Writes directly, like an operator.
  void put(const std::string &Key, std::string Value);
  void remove(const std::string &Key);
  /// Returns the value of a key, or an empty text if there is none.
  std::string value(const std::string &Key) const;
  bool has(const std::string &Key) const { return Items.contains(Key); }
  /// Ends every lease, which an outage can cause.
  void lapseLeases();
  /// Keeps a copy of all items.
  void saveCopy();
  /// Returns to the copy that was kept last: later writes and all leases are
  /// gone, revisions are given out again, and the era rises. Waiting watches
  /// are cut.
  void restoreCopy();

  /// A value that begins so is sent as it is and not as base64.
  static constexpr std::string_view RawPrefix = "!raw";

  switches Switches;
  unsigned Calls = 0;          ///< all calls, including refused ones
  unsigned StaleReads = 0;     ///< pages read with serializable=1
  std::size_t PageItems = 500; ///< items in one page of a listing

private:
  struct item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct change {
    std::string Key;
    std::uint64_t Revision = 0;
    bool Removed = false;
    item Item;
  };
  struct lease {
    microseconds TimeToLive{0};
    instant Ends;
  };

  /// One address of the store.
  struct entrance {
    std::unique_ptr<http_service> Service;
    address At;
    bool Silent = false;
  };

  awaitable<http_response> handle(const http_request &Request, entrance &At);
  awaitable<http_response> answer(const http_request &Request);
  http_response key(const std::string &Key) const;
  http_response range(const std::string &Prefix,
                      const std::string &After) const;
  awaitable<http_response> watch(std::string Prefix, std::uint64_t After,
                                 milliseconds Wait);
  http_response transact(const boost::json::object &Body);
  http_response grant(const boost::json::object &Body);
  http_response keep(std::uint64_t Id);
  void store(const std::string &Key, std::string Value, std::uint64_t Lease);
  void endLease(std::uint64_t Id);
  void expireLeases();
  void record(const std::string &Key, bool Removed);

  asio::io_context &Context;
  std::vector<std::unique_ptr<entrance>> Entrances;
  std::uint64_t WatchGeneration = 0; ///< of the watches that are answered
  std::map<std::string, item> Items;
  std::vector<change> History;
  std::map<std::uint64_t, lease> Leases;
  std::uint64_t Revision = 1;
  std::uint64_t NextLease = 100;
  std::uint64_t Era = 1;
  std::map<std::string, item> CopiedItems;
  std::uint64_t CopiedRevision = 1;
};

} // namespace chivebeam::stand_ins
