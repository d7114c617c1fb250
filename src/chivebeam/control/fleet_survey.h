#pragma once

#include <string>
#include <vector>

#include "base/address.h"
#include "base/names.h"
#include "net/http_service.h"

namespace chivebeam {

/// A node that a survey queries.
struct survey_peer {
  node_id Node;
  address Peer;
};

/// Requests the configuration report of each peer, 16 at a time, and returns
/// the reports as one JSON document. A peer that does not answer is listed with
/// state "no answer". Each query times out after one second, so a survey of N
/// peers takes at most N / 16 seconds, rounded up.
awaitable<std::string> surveyFleet(fleet_name Fleet, std::string OwnReport,
                                   std::vector<survey_peer> Peers);

} // namespace chivebeam
