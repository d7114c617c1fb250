#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "membership/home_record.h"
#include "mesh/mesh_call.h"
#include "moves/evidence.h"

namespace chivebeam {

/// What a frame between two nodes of a mesh says.
enum class frame_kind {
  hello = 0,  ///< the sender's own record, first on each connection
  call = 1,   ///< run this call
  answer = 2, ///< what became of the call
  cancel = 3, ///< the caller of the call is gone
  ping = 4,   ///< answer at once
  pong = 5,
  records = 6,       ///< what the sender knows of home nodes
  config_query = 7,  ///< send the newest configuration
  config = 8,        ///< its packed text is the frame's body
  records_query = 9, ///< send all records
  evidence = 10,     ///< what a home node has counted
  move = 11,         ///< how far the move of a service is; its text is the body
  body_request = 12, ///< send the body of the call that was offered
  body = 13,         ///< the body of a call that was offered
};

/// One frame; which parts it has follows from the kind. A plain value.
struct peer_frame {
  frame_kind Kind = frame_kind::ping;
  std::uint64_t Call = 0;
  config_number Config; ///< the newest that the sender holds
  std::optional<mesh_call> Request;
  std::optional<mesh_answer> Answer;
  std::vector<home_record> Records;
  std::optional<evidence_report> Evidence;
  shared_body Body; ///< text of a configuration or a move; body of a call
};

/// Largest body of one frame.
inline constexpr std::size_t MaxFrameBodyBytes = 128 << 20;
inline constexpr std::size_t FramePrefixBytes = 8;

/// Writes everything but the body, which is to follow. Thread safe.
std::string encodeFrameHead(const peer_frame &Frame, instant Now);
/// Returns the bytes that are to follow the head; null if there are none.
shared_body bodyOf(const peer_frame &Frame);

/// Sizes that stand before each frame.
struct frame_sizes {
  std::size_t Head = 0;
  std::size_t Body = 0;
};

/// Reads the sizes; an error if they are absurd. \pre Bytes has
/// FramePrefixBytes bytes.
result<frame_sizes> decodeFrameSizes(std::string_view Bytes);
/// Reads a frame; its body is taken over. Thread safe.
result<peer_frame> decodeFrame(std::string_view Head, std::string Body,
                               instant Now);

} // namespace chivebeam
