#pragma once

#include <string>

#include "data/call_cancellation.h"

namespace chivebeam {

using request_parser = http::request_parser<http::buffer_body>;

/// The body of one request. A small body of known length is held whole, so
/// that the call can be sent again after a truthful not-run; a larger one is
/// left unread until a home node has admitted the call, and then passed on
/// piece by piece. Not thread safe.
class request_body {
public:
  static constexpr std::size_t MaxBufferedBytes = 16 << 10;

  /// \pre Parser has read the header; all outlive the body.
  request_body(beast::tcp_stream &Source, beast::flat_buffer &Buffer,
               request_parser &Parser);

  /// True if the body is passed on piece by piece.
  bool isStreamed() const { return Streamed; }
  /// True if no byte of a streamed body was taken from its sender.
  bool isUnread() const { return Unread; }
  /// True if all of it has been read.
  bool isComplete() const { return Parser.is_done(); }
  const std::string &buffered() const { return Buffered; }

  /// Tells a sender that waits for it to send the body. Only the first call
  /// has an effect.
  awaitable<error_code> sendContinue();
  /// Reads a body that is held whole; does nothing for a streamed one.
  awaitable<error_code> readBuffered(call_cancellation &Cancellation);
  /// Reads the next piece of a streamed body; empty at its end.
  awaitable<error_code> readPiece(char *Piece, std::size_t &Size,
                                  call_cancellation &Cancellation);

private:
  beast::tcp_stream &Source;
  beast::flat_buffer &Buffer;
  request_parser &Parser;
  std::string Buffered;
  bool Streamed = false;
  bool Unread = true;
  bool AwaitsContinue; ///< the sender waits for "100 Continue"
};

/// True if the sender waits for "100 Continue" before it sends the body.
bool expectsContinue(const http::request_header<> &Header);

} // namespace chivebeam
