#pragma once

#include <string>
#include <variant>

#include "base/error.h"
#include "claims/claim.h"

namespace chivebeam {

/// HTTP target of claim messages on a node's peer address.
inline constexpr std::string_view ClaimTarget = "/peer/claims";

/// A claim request in the form sent to another node: its times are relative to
/// its arrival.
struct relative_claim_request {
  claim_request Request; ///< its absolute times are not sent
  milliseconds RunsFor{0};
  milliseconds WaitFor{0};
};

/// Message of an entry node to the owner of a claim log: a claim request or the
/// end of a claimed call.
struct claim_message {
  fleet_name Fleet;
  service_name Service;
  std::variant<relative_claim_request, claim_end> Content;
};

/// Encode and decode claim messages and log segments. Thread safe.
std::string encodeClaimMessage(const claim_message &Message);
result<claim_message> decodeClaimMessage(std::string_view Bytes);
std::string encodeAnswer(const claim_answer &Answer);
result<claim_answer> decodeAnswer(std::string_view Bytes);
std::string encodeSegment(const claim_segment &Segment);
result<claim_segment> decodeSegment(std::string_view Bytes);

} // namespace chivebeam
