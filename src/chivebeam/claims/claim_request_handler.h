#pragma once

#include <map>

#include "claims/claim_messages.h"
#include "claims/claim_owner.h"
#include "net/http_client.h"

namespace chivebeam {

/// Handles claim messages from other nodes on the control thread and forwards
/// them to the claim event loop if this node owns the log. Not thread safe.
class claim_request_handler {
public:
  /// Returns false if the ring buffer to the event loop is full.
  using command_sink = std::function<bool(claim_command)>;

  claim_request_handler(fleet_name Fleet, node_id Self, command_sink Sink);

  /// Updates the owners of all claim logs and derives the commit interval from
  /// the number of logs.
  void ownersChanged(const std::map<service_name, claim_owner> &Owners,
                     std::size_t LogCount);
  awaitable<http_response> answer(const http_request &Request);
  void handleReply(const claim_reply &Reply);

private:
  struct pending_reply {
    asio::steady_timer *Timer = nullptr;
    claim_answer Answer;
  };

  awaitable<claim_answer> forwardToEventLoop(claim_message Message);

  fleet_name Fleet;
  node_id Self;
  command_sink Sink;
  std::map<service_name, claim_owner> Owners;
  std::map<service_name, std::uint64_t> Ownerships;
  std::uint64_t LastOwnership = 0;
  microseconds CommitInterval{0};
  claim_ticket LastTicket;
  std::map<claim_ticket, pending_reply *> PendingReplies;
};

} // namespace chivebeam
