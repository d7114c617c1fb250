#pragma once

#include <map>
#include <memory>
#include <optional>

#include "claims/claim_codec.h"
#include "claims/claim_owner.h"
#include "net/http_client.h"

namespace chivebeam {

/// Sends claim requests to the owners of claim logs on behalf of this node's
/// callers. A request whose answer is lost is sent again with the same claim
/// id, which makes the retry safe. Runs on one io_context; not thread safe.
class claim_client {
public:
  /// Returns the current owner of the log, if there is one.
  using owner_finder = std::function<std::optional<claim_owner>()>;

  explicit claim_client(fleet_name FleetName) : Fleet(std::move(FleetName)) {}

  /// Retries until there is a final answer or the time limit is reached.
  /// Request.RunsUntil is the call's deadline.
  awaitable<claim_answer> ask(service_name Service, claim_request Request,
                              owner_finder FindOwner);
  /// Reports how a claimed call ended; gives up after a few attempts.
  awaitable<void> end(service_name Service, claim_end End,
                      owner_finder FindOwner);

private:
  struct idle_client {
    std::unique_ptr<http_client> Client;
    instant Since;
  };

  awaitable<std::optional<claim_answer>> askOnce(const claim_owner &Owner,
                                                 const service_name &Service,
                                                 const claim_request &Request);
  awaitable<result<claim_answer>> send(const address &Owner,
                                       const claim_message &Message,
                                       milliseconds Timeout);
  std::unique_ptr<http_client> acquireClient(const address &Owner);

  fleet_name Fleet;
  std::map<address, std::vector<idle_client>> Idle;
};

} // namespace chivebeam
