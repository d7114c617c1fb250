#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/json.hpp>

#include "base/token_bucket.h"
#include "config/config_holder.h"
#include "config/join_barrier.h"
#include "config/source_fetch.h"
#include "net/http_service.h"

namespace chivebeam {

/// Brings the newest configuration to this node and hands it to others: takes
/// what the store found, fetches what peers show to hold, answers peers that
/// ask, within a bounded rate, and knows when a starting node may serve. Runs
/// on the control duty's io_context; not thread safe.
class config_distributor {
public:
  using applied_handler = std::function<void(const config_source &)>;

  /// \pre Context and Config outlive the distributor. Applied is called after
  /// each configuration that came into force.
  config_distributor(asio::io_context &Context, config_holder &Config,
                     fleet_name Fleet, node_id Node, std::uint64_t Seed,
                     applied_handler Applied);

  /// A peer has shown the head that it holds.
  void headSeen(const config_head &Head, const address &From, instant Now);
  /// The store answered with this number as its newest.
  void storeAnswered(config_number Newest, instant Now);
  void contactsFound(std::size_t Count) { Barrier.contactsFound(Count); }
  /// Offers a source to the holder, logs the outcome and returns it.
  config_outcome offer(const config_source &Source,
                       std::optional<config_digest> ExpectedDigest,
                       instant Now);
  /// Starts a fetch if one is due.
  void tick(instant Now);
  /// True once what must be in force before the first call is in force.
  bool canServe(instant Now);

  /// Answers a request of a peer for the source or for this node's report.
  std::optional<http_response> answerPeer(const http_request &Request,
                                          std::string_view NodeState,
                                          instant Now);
  /// Adds number, digest, refusal and conflict to a status document.
  void addStatusTo(boost::json::object &Out) const;

private:
  awaitable<void> fetch(fetch_target Target);
  fetch_outcome handleSourceResponse(const fetch_target &Target,
                                     const result<http_response> &Response,
                                     instant Now);
  fetch_outcome applyFetchedSource(const fetch_target &Target,
                                   const config_source &Source, instant Now);
  void logOutcome(config_outcome Outcome, const config_source &Source);
  void logConflict(const config_head &Other, std::string_view SeenAt);
  void checkStoreNumber(config_number Newest);

  asio::io_context &Context;
  config_holder &Config;
  fleet_name Fleet;
  node_id Node;
  join_barrier Barrier;
  source_fetch Fetch;
  token_bucket AnswerBudget;
  applied_handler Applied;
  std::optional<config_head> ConflictingHead;
  std::optional<config_number> OlderStoreNumber;
};

/// Name of the header field that carries the fleet's name between nodes.
inline constexpr std::string_view FleetField = "Chivebeam-Fleet";

/// Builds a request of this fleet to a peer.
http_request makePeerRequest(std::string_view Target, const fleet_name &Fleet);

} // namespace chivebeam
