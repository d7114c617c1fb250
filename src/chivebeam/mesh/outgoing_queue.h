#pragma once

#include <deque>
#include <functional>
#include <string_view>
#include <vector>

#include "wire/peer_frame.h"

namespace chivebeam {

/// Bytes of one write call. Owners keeps the bytes of Pieces alive. A plain
/// value.
struct outgoing_batch {
  void add(shared_body Owner, std::string_view Piece) {
    Owners.push_back(std::move(Owner));
    Pieces.push_back(Piece);
  }

  std::vector<shared_body> Owners;
  std::vector<std::string_view> Pieces;
};

/// What waits to be sent on a connection between two nodes. Frames are sent in
/// order. Bodies that are sent in parts take turns, one part between two writes
/// of frames, so a body delays neither frames nor other bodies by more than a
/// part. Not thread safe.
class outgoing_queue {
public:
  using sent_handler = std::function<void()>;

  /// Adds a frame; Body follows its head and may be null.
  void addFrame(std::string Head, shared_body Body);
  /// Adds a body that is sent in parts, as frames of kind body_part. OnLastPart
  /// is called when the last part is taken: before that, the receiver can't
  /// have the whole body. \pre Body is not empty.
  void addBody(std::uint64_t Call, shared_body Body, sent_handler OnLastPart);
  /// Removes what is left of a call's body, if anything is.
  void removeBody(std::uint64_t Call);
  /// Takes what is to be written next. \pre !empty()
  outgoing_batch takeBatch(instant Now);
  bool empty() const { return Frames.empty() && Bodies.empty(); }
  /// Bytes of the frames that wait, without bodies that are sent in parts.
  std::size_t frameBytes() const { return FrameBytes; }
  void clear();

private:
  struct outgoing_frame {
    shared_body Head;
    shared_body Body; ///< may be null
  };
  struct outgoing_body {
    std::uint64_t Call = 0;
    shared_body Body;
    std::size_t Sent = 0;
    sent_handler OnLastPart;
  };

  void takePart(outgoing_batch &Batch, instant Now);

  std::deque<outgoing_frame> Frames;
  std::size_t FrameBytes = 0;
  std::deque<outgoing_body> Bodies;
};

} // namespace chivebeam
