#pragma once

#include <boost/json.hpp>

#include "net/http_service.h"
#include "stand_ins/memory_store.h"

namespace chivebeam::stand_ins {

/// Faults of the store stand-in. POST /switches with a JSON object of the
/// fields to change sets them at run time.
struct store_switches {
  bool Down = false;         ///< closes every connection without an answer
  std::int64_t SlowMs = 0;   ///< delay before each answer in milliseconds
  std::int64_t LoseNext = 0; ///< commits that take effect unanswered
};

/// Serves a memory_store over the protocol of the etcd v3 JSON gateway and
/// counts the calls. GET /counts returns the counts.
class store_stand_in {
public:
  explicit store_stand_in(asio::io_context &Context);

  result<address> listen(const address &ListenAddress);
  memory_store &data() { return Data; }
  store_switches &switches() { return Switches; }
  std::uint64_t calls() const { return Calls; }

private:
  awaitable<void> acceptLoop();
  awaitable<void> expireLoop();
  awaitable<void> serve(tcp::socket Socket);
  awaitable<bool> serveOne(beast::tcp_stream &Stream,
                           beast::flat_buffer &Buffer);
  awaitable<void> serveWatch(beast::tcp_stream &Stream,
                             boost::json::object Body);
  boost::json::object answer(std::string_view Target,
                             const boost::json::object &Body);
  boost::json::object answerTransaction(const boost::json::object &Body);
  void applySwitches(const boost::json::object &Body);

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  memory_store Data;
  store_switches Switches;
  std::uint64_t Calls = 0;
  std::uint64_t Commits = 0;
  std::uint64_t OpenWatches = 0;
};

} // namespace chivebeam::stand_ins
