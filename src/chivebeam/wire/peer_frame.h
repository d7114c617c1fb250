#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "limits/usage_messages.h"
#include "membership/record_digest.h"
#include "mesh/mesh_call.h"
#include "moves/evidence.h"
#include "routing/crash_suspects.h"
#include "routing/evacuation_state.h"

namespace chivebeam {

/// Kind of a frame between two nodes of a mesh.
enum class frame_kind {
  hello = 0,  ///< the sender's own record, first on each connection
  call = 1,   ///< run this call
  answer = 2, ///< outcome and answer of the call
  cancel = 3, ///< the caller of the call has disconnected
  ping = 4,   ///< the receiver answers at once with a pong
  pong = 5,
  records = 6,       ///< the sender's records of home nodes
  config_query = 7,  ///< requests the newest configuration
  config = 8,        ///< its compressed text is the frame's body
  records_query = 9, ///< requests all records
  evidence = 10,     ///< an evidence report of a home node
  move = 11,         ///< progress of a service's move; its text is the body
  body_request = 12, ///< requests the body of an offered call
  body = 13,         ///< the body of an offered call
  subscribe = 14,    ///< the sender wants all changes of records and moves
  body_part = 15,    ///< the next part of the body of a call or an answer
  usage_ask = 17,    ///< requests tokens of usage caps from their owner
  usage_grant = 18,  ///< the answer to a usage_ask
};

/// One frame. Its kind determines which parts it has. A plain value.
struct peer_frame {
  frame_kind Kind = frame_kind::ping;
  std::uint64_t Call = 0; ///< number of the call or query it belongs to
  config_number Config;   ///< newest number that the sender holds
  /// Digest of the sender's records and moves; in pings and pongs.
  std::uint64_t Digest = 0;
  /// Time since the sender, a watcher, read all changes of the store; empty if
  /// it does not read them.
  std::optional<microseconds> StoreAge;
  store_era Era; ///< highest era of the store that the sender knows
  /// Digests of the sender's records by bucket; in requests for records.
  record_buckets Buckets{};
  /// Set of the buckets that Records covers completely, one bit for each.
  std::uint64_t CoveredBuckets = 0;
  std::optional<mesh_call> Request;
  std::optional<mesh_answer> Answer;
  std::vector<home_record> Records;
  /// Records that the sender passed on and that can't be applied.
  std::size_t SkippedRecords = 0;
  std::optional<evidence_report> Evidence;
  std::vector<suspect_event> Suspects; ///< in frames of kind records
  /// With the status of the sender, once it has known an order.
  std::optional<evacuation_orders> Evacuations;
  /// In frames of kind usage_ask and usage_grant; Call is their number.
  std::vector<usage_ask> UsageAsks;
  std::vector<usage_grant> UsageGrants;
  /// The sender can read the body that it asks for in parts. A process of an
  /// earlier version neither says so nor reads parts.
  bool AcceptsParts = false;
  /// Size of the answer's body, which follows in parts; zero if Answer has it.
  std::uint64_t PartedBytes = 0;
  shared_body Body; ///< text of a configuration or a move; body of a call
};

/// Larger bodies are sent in parts of this size.
inline constexpr std::size_t MaxPartBytes = 64 << 10;
/// Largest body of one frame.
inline constexpr std::size_t MaxFrameBodyBytes = 128 << 20;
inline constexpr std::size_t FramePrefixBytes = 8;

/// Encodes the frame without its body, of which BodyBytes are sent after these
/// bytes. Thread safe.
std::string encodeFrameHead(const peer_frame &Frame, std::size_t BodyBytes,
                            instant Now);
/// The same for the body that the frame holds.
std::string encodeFrameHead(const peer_frame &Frame, instant Now);
/// Returns the body to send after the head, or null if there is none.
shared_body bodyOf(const peer_frame &Frame);

/// Sizes in bytes from the prefix of a frame.
struct frame_sizes {
  std::size_t Head = 0;
  std::size_t Body = 0;
};

/// Decodes the prefix of a frame; an error if a size exceeds its limit.
/// \pre Bytes has FramePrefixBytes bytes.
result<frame_sizes> decodeFrameSizes(std::string_view Bytes);
/// Decodes a frame, which takes over Body. Thread safe.
result<peer_frame> decodeFrame(std::string_view Head, std::string Body,
                               instant Now);

} // namespace chivebeam
