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

/// Keeps this node on the newest configuration and distributes it to peers. It
/// applies sources found in the store, fetches sources from peers that report a
/// newer number, sends sources to peers at a bounded rate, and determines when
/// a starting node can serve calls. Runs on the io_context of the control event
/// loop; not thread safe.
class config_distributor {
public:
  using applied_handler = std::function<void(const config_source &)>;

  /// \pre Context and Config outlive the distributor. Applied is called after
  /// each configuration that is applied.
  config_distributor(asio::io_context &Context, config_holder &Config,
                     fleet_name Fleet, node_id Node, std::uint64_t Seed,
                     applied_handler Applied);

  /// Records the head that a peer has reported.
  void headSeen(const config_head &Head, const address &From, instant Now);
  /// Records the newest number that the store has returned.
  void storeAnswered(config_number Newest, instant Now);
  /// Records how many peers the store lists.
  void contactsFound(std::size_t Count) { Barrier.contactsFound(Count); }
  /// Offers a source to the configuration holder, logs the outcome and returns
  /// it. With an ExpectedDigest, the source must compile to that digest.
  config_outcome offer(const config_source &Source,
                       std::optional<config_digest> ExpectedDigest,
                       instant Now);
  /// Starts a fetch if one is due.
  void tick(instant Now);
  /// True once the configuration that a starting node must have before its
  /// first call is in force.
  bool canServe(instant Now);

  /// Answers a peer's request for the configuration source or for this node's
  /// configuration report. Returns nothing if the target is neither.
  std::optional<http_response> answerPeer(const http_request &Request,
                                          std::string_view NodeState,
                                          instant Now);
  /// Adds the number and digest of the configuration in force, the refused
  /// configuration, the conflict and an outdated store to a status document.
  void addStatusTo(boost::json::object &Out) const;

private:
  awaitable<void> fetch(fetch_target Target);
  fetch_outcome handleSourceResponse(const fetch_target &Target,
                                     const result<http_response> &Response,
                                     instant Now);
  fetch_outcome applyFetchedSource(const fetch_target &Target,
                                   const config_source &Source, instant Now);
  void logOutcome(config_outcome Outcome, const config_source &Source);
  /// Logs another configuration with the number in force, unless it is the one
  /// logged last.
  void logConflict(const config_head &Other, std::string_view SeenAt);
  /// Logs a store whose newest number is below the number in force.
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

/// Header field with the fleet's name in requests between nodes.
inline constexpr std::string_view FleetField = "Chivebeam-Fleet";

/// Builds a GET request to a peer of this fleet.
http_request makePeerRequest(std::string_view Target, const fleet_name &Fleet);

} // namespace chivebeam
