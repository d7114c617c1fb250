#pragma once

#include <boost/json.hpp>

#include "net/http_client.h"
#include "store/config_store.h"

namespace chivebeam {

/// Client of the platform's store over the etcd v3 JSON gateway. Switches to
/// the next server after a failure. Not thread safe.
class gateway_store : public config_store {
public:
  /// \pre Servers is not empty.
  gateway_store(std::vector<address> Servers, milliseconds CallTimeout);

  awaitable<result<range_answer>> range(std::string Key,
                                        bool IsPrefix) override;
  awaitable<result<range_answer>> page(std::string Prefix, std::string After,
                                       unsigned Limit) override;
  awaitable<result<transaction_answer>>
  commit(store_transaction Transaction) override;
  awaitable<result<lease_id>> grantLease(seconds TimeToLive) override;
  awaitable<result<bool>> keepLease(lease_id Lease) override;
  awaitable<result<void>> revokeLease(lease_id Lease) override;
  awaitable<error> watch(std::string Prefix, store_revision From,
                         watch_handler Handler) override;
  void cancelWatch() override;

private:
  awaitable<result<boost::json::object>> post(std::string Target,
                                              boost::json::object Body);
  void useNextServer();
  awaitable<error> readWatch(beast::tcp_stream &Stream,
                             const watch_handler &Handler);

  std::vector<address> Servers;
  std::size_t Current = 0;
  milliseconds CallTimeout;
  std::unique_ptr<http_client> Client;
  beast::tcp_stream *WatchStream = nullptr;
};

} // namespace chivebeam
