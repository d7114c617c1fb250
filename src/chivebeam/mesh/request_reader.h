#pragma once

#include <memory>

#include "base/units.h"
#include "mesh/request_decoder.h"

namespace chivebeam {

/// Reads requests from a connection while answers are written to it: the time
/// limit of a read ends neither the connection nor a write. Runs on one
/// io_context; not thread safe.
class request_reader {
public:
  using parser = bounded_request_parser;

  /// \pre Socket outlives the reader.
  explicit request_reader(tcp::socket &Socket);

  /// Waits for the first bytes of a request. Returns operation_aborted after
  /// interrupt and beast::error::timeout at End.
  awaitable<error_code> awaitBytes(instant End);
  /// Reads a header. Returns the errors of awaitBytes and of the parser.
  awaitable<error_code> readHeader(parser &Parser, instant End);
  /// Reads a body; each part of it must arrive within ProgressTime. If its
  /// length is not known, Held grows with what arrives; returns no_memory if it
  /// can't.
  awaitable<error_code> readBody(parser &Parser, microseconds ProgressTime,
                                 body_reservation &Held);
  /// Ends the read that waits for bytes, if there is one.
  void interrupt();
  /// True if bytes of the next request are here.
  bool hasBytes() const { return Decoder.hasBytes(); }
  /// Returns when the last bytes were read.
  instant lastReadAt() const { return LastReadAt; }
  /// Returns the number of bytes that were read from the connection.
  std::uint64_t receivedBytes() const { return ReceivedBytes; }

private:
  struct state;

  awaitable<error_code> readSome(std::size_t Size, instant End);

  tcp::socket &Socket;
  std::shared_ptr<state> State;
  request_decoder Decoder;
  instant LastReadAt;
  std::uint64_t ReceivedBytes = 0;
};

} // namespace chivebeam
