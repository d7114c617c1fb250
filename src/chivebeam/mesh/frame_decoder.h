#pragma once

#include <optional>

#include "net/asio_types.h"
#include "wire/peer_frame.h"

namespace chivebeam {

/// Decodes the bytes that arrive on a connection between two nodes into frames.
/// Memory is set aside as bytes arrive, not for the size that the other side
/// states. Not thread safe.
class frame_decoder {
public:
  /// Returns where up to Bytes further bytes of the connection may be written.
  asio::mutable_buffer prepare(std::size_t Bytes) {
    return Buffer.prepare(Bytes);
  }
  /// Adds the first Bytes bytes that were written there.
  void commit(std::size_t Bytes) { Buffer.commit(Bytes); }
  /// Returns the next frame; empty if bytes of it are missing. After an error
  /// nothing more of the connection can be decoded.
  result<std::optional<peer_frame>> next(instant Now);
  /// Returns the bytes of memory that are set aside.
  std::size_t heldBytes() const { return Buffer.capacity(); }

private:
  beast::flat_buffer Buffer;
};

} // namespace chivebeam
