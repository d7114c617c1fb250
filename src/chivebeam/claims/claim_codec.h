#pragma once

#include <string>
#include <variant>

#include "base/error.h"
#include "claims/claim.h"

namespace chivebeam {

/// Where a node takes claim questions on its peer address.
inline constexpr std::string_view ClaimTarget = "/peer/claims";

/// A request as it travels: times are relative to its arrival.
struct relative_claim_request {
  claim_request Request; ///< its times are not sent
  milliseconds RunsFor{0};
  milliseconds WaitFor{0};
};

/// What an entry node sends to the owner of a claim log.
struct claim_message {
  fleet_name Fleet;
  service_name Service;
  std::variant<relative_claim_request, claim_end> Content;
};

/// Conversions between claim messages and their bytes. Thread safe.
std::string encodeClaimMessage(const claim_message &Message);
result<claim_message> decodeClaimMessage(std::string_view Bytes);
std::string encodeAnswer(const claim_answer &Answer);
result<claim_answer> decodeAnswer(std::string_view Bytes);
std::string encodeSegment(const claim_segment &Segment);
result<claim_segment> decodeSegment(std::string_view Bytes);

} // namespace chivebeam
