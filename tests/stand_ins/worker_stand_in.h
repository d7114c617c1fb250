#pragma once

#include <string>

#include "net/http_service.h"

namespace chivebeam::stand_ins {

/// Behaviour of a backend server stand-in; POST /switches changes it.
struct worker_settings {
  std::string Service;
  std::string Version;
  std::int64_t Slots = 6;
  std::int64_t ServiceMs = 2;
  std::int64_t ColdStartMs = 0;
  std::int64_t FailPercent = 0; ///< percentage of calls answered 500
  std::int64_t SlowFactor = 1;  ///< multiplies ServiceMs
  std::string FaultPath;        ///< path prefix of the faults; empty: all paths
  bool AlwaysHealthy = false;   ///< /health answers ok although calls fail
  address Node;                 ///< control address of the node beside it
  std::string ExecutionLog;     ///< file with one line for each execution
};

/// A backend server on loopback that announces itself to its node. It answers
/// with the body that it received, so that a caller can check it.
class worker_stand_in {
public:
  worker_stand_in(asio::io_context &Context, worker_settings Settings);

  result<address> listen(const address &ListenAddress);
  /// Announces that it is leaving; returns after the node has answered or the
  /// call has timed out.
  awaitable<void> leave();

private:
  awaitable<void> acceptLoop();
  awaitable<void> announceLoop();
  awaitable<void> announce();
  awaitable<void> serve(tcp::socket Socket);
  awaitable<http_response> handle(const http_request &Request);
  bool faultsApply(std::string_view Target) const;
  void logExecution(const http_request &Request) const;
  void applySwitches(const std::string &Body);

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  worker_settings Settings;
  address Bound;
  bool Leaving = false;
  std::uint64_t Calls = 0;
  std::uint64_t Failed = 0;
  instant StartedAt;
};

} // namespace chivebeam::stand_ins
