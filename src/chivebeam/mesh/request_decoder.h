#pragma once

#include "mesh/body_budget.h"
#include "net/bounded_request_parser.h"

namespace chivebeam {

/// Decodes the bytes that arrive on the connection of a caller into requests.
/// Not thread safe.
class request_decoder {
public:
  /// Returns where up to Bytes further bytes of the connection may be written.
  asio::mutable_buffer prepare(std::size_t Bytes) {
    return Buffer.prepare(Bytes);
  }
  /// Adds the first Bytes bytes that were written there.
  void commit(std::size_t Bytes) { Buffer.commit(Bytes); }
  /// True if bytes are here that belong to no request yet.
  bool hasBytes() const { return Buffer.size() > 0; }
  /// Returns the number of bytes that are here and are not parsed.
  std::size_t unparsedBytes() const { return Buffer.size(); }

  /// Parses up to the end of the header. Without an error, further bytes are
  /// needed unless Parser.is_header_done().
  error_code parseHeader(bounded_request_parser &Parser);
  /// Parses up to the end of the body. Without an error, further bytes are
  /// needed unless Parser.is_done(). If the length of the body is not known,
  /// Held grows with what arrives; returns no_memory if it can't. Returns
  /// body_limit if the framing of the body is too large to wait for its end.
  error_code parseBody(bounded_request_parser &Parser, body_reservation &Held);

private:
  error_code parse(bounded_request_parser &Parser);

  beast::flat_buffer Buffer;
};

} // namespace chivebeam
