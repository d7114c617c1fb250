#pragma once

#include <map>
#include <memory>
#include <optional>

#include "claims/claim_codec.h"
#include "claims/claim_owner.h"
#include "net/http_client.h"

namespace chivebeam {

/// Asks the owners of claim logs on behalf of this node's callers. A question
/// whose answer is lost is asked again with the same claim id, which is safe.
/// Runs on one io_context; not thread safe.
class claim_client {
public:
  /// Returns the present owner of the log, if there is one.
  using owner_finder = std::function<std::optional<claim_owner>()>;

  explicit claim_client(fleet_name FleetName) : Fleet(std::move(FleetName)) {}

  /// Asks until there is a final answer or no time is left for the call.
  /// Request.RunsUntil is the call's deadline.
  awaitable<claim_answer> ask(service_name Service, claim_request Request,
                              owner_finder FindOwner);
  /// Reports how a claimed call ended; tries a few times.
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
