#pragma once

#include <map>
#include <set>

#include <boost/json.hpp>

#include "net/http_service.h"

namespace chivebeam::stand_ins {

/// The users' platform's metadata store in memory, as their pages describe it:
/// items with revisions, leases, transactions under a condition, and watches
/// that wait. Its switches bring about what the pages say may happen.
class platform_store {
public:
  /// What the store does instead of answering as it should.
  struct switches {
    bool Down = false;            ///< answers 503 to everything
    bool TooManyRequests = false; ///< answers 429 to everything
    bool LoseWrites = false;      ///< writes take effect but get no answer
    bool Compacted = false; ///< the next watch is told that history is gone
    milliseconds Delay{0};  ///< before each answer
  };

  explicit platform_store(asio::io_context &Context);

  /// Listens on a port that the kernel chooses.
  address listen();

  /// Writes as the operator does.
  void put(const std::string &Key, std::string Value);
  void remove(const std::string &Key);
  /// Returns a value; empty if there is none.
  std::string value(const std::string &Key) const;
  bool has(const std::string &Key) const { return Items.contains(Key); }
  /// Ends every lease, as an outage may.
  void lapseLeases();

  switches Switches;
  unsigned Calls = 0;          ///< of any kind, refused ones included
  unsigned StaleReads = 0;     ///< listings that may be old
  std::size_t PageItems = 500; ///< in one answer to a listing

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

  awaitable<http_response> handle(const http_request &Request);
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
  http_service Service;
  std::map<std::string, item> Items;
  std::vector<change> History;
  std::map<std::uint64_t, lease> Leases;
  std::uint64_t Revision = 1;
  std::uint64_t NextLease = 100;
};

} // namespace chivebeam::stand_ins
