#pragma once

#include <string_view>
#include <vector>

#include "base/names.h"
#include "base/units.h"

namespace chivebeam {

/// Identifies one attempt of one caller to run a call; never reused.
using claim_id = basic_name<struct claim_id_tag>;
/// Position of a segment in a claim log, counted from one.
using claim_sequence = basic_number<struct claim_sequence_tag>;
/// Identifies one group commit, so that its writer recognizes it when it reads
/// the log back.
using batch_id = basic_number<struct batch_tag>;
/// Hash of everything that a repeated call must share with the first one.
using request_digest = basic_number<struct request_digest_tag>;
/// Store revision at which a log was last written.
using log_position = basic_number<struct log_position_tag>;

/// How long a key is remembered after its claim.
inline constexpr std::chrono::hours ClaimRetention{1};

/// Hash of a service and an idempotency key.
struct claim_key {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  friend auto operator<=>(const claim_key &, const claim_key &) = default;
};

/// Thread safe.
claim_key makeClaimKey(const service_name &Service, std::string_view Key);
/// Hashes method, target and body of a request. Thread safe.
request_digest digestRequest(std::string_view Method, std::string_view Target,
                             std::string_view Body);

enum class claim_event {
  claimed = 0,  ///< the call may be sent to a backend server
  released = 1, ///< the call did not run; the key may be claimed again
  ran = 2,      ///< the call ran and was answered
};

/// One entry of a claim log.
struct claim_record {
  claim_event Event = claim_event::claimed;
  claim_key Key;
  request_digest Request;
  claim_id Id;
  unsigned Status = 0; ///< HTTP status of the answer, for ran
  instant At;
  instant RunsUntil; ///< deadline of the claimed call

  friend bool operator==(const claim_record &, const claim_record &) = default;
};

/// The records of one group commit.
struct claim_segment {
  claim_sequence Sequence;
  batch_id Batch;
  std::vector<claim_record> Records;

  friend bool operator==(const claim_segment &,
                         const claim_segment &) = default;
};

/// Request of an entry node to the owner of a claim log for one key.
struct claim_request {
  claim_id Id;
  claim_key Key;
  request_digest Request;
  instant RunsUntil; ///< deadline of the call
  instant WaitUntil; ///< how long a repeat may wait for the first call to end
};

enum class claim_outcome { released = 0, unknown = 1, ran = 2 };

/// How a claimed call ended, as the node that holds the claim reports it.
struct claim_end {
  claim_id Id;
  claim_key Key;
  claim_outcome Outcome = claim_outcome::unknown;
  unsigned Status = 0;
};

enum class claim_verdict {
  granted = 0,       ///< durable; the call may run
  running = 1,       ///< another call with the key has not ended
  unknown = 2,       ///< an earlier call with the key may have run
  ran = 3,           ///< an earlier call with the key ran
  other_request = 4, ///< the key was used for another request
  unavailable = 5,   ///< not granted: the store does not respond
  not_owner = 6,     ///< not granted: another node owns the log
  over_limit = 7,    ///< not granted: the owner holds too many claims
};

std::string_view toString(claim_verdict Verdict);

struct claim_answer {
  claim_verdict Verdict = claim_verdict::unavailable;
  unsigned Status = 0; ///< HTTP status of the first call's answer, for ran

  friend bool operator==(const claim_answer &, const claim_answer &) = default;
};

} // namespace chivebeam
