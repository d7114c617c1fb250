#pragma once

#include <string>

#include "data/call_cancellation.h"
#include "net/trailerless_parser.h"

namespace chivebeam {

using request_parser = trailerless_parser<true, http::buffer_body>;

/// The body of one request. A body of known length up to MaxBufferedBytes is
/// buffered, so that the call can be retried if it did not run. Any other body
/// is streamed: it stays unread until a home node has admitted the call, and is
/// then forwarded in pieces. Not thread safe.
class request_body {
public:
  static constexpr std::size_t MaxBufferedBytes = 16 << 10;

  /// \pre Parser has read the header; all arguments outlive this object.
  request_body(beast::tcp_stream &Source, beast::flat_buffer &Buffer,
               request_parser &Parser);

  /// True if the body is forwarded in pieces and not buffered.
  bool isStreamed() const { return Streamed; }
  /// True if no piece of a streamed body was read yet.
  bool isUnread() const { return Unread; }
  /// True if the body has been read completely.
  bool isComplete() const { return Parser.is_done(); }
  const std::string &buffered() const { return Buffered; }

  /// Sends 100 Continue if the sender waits for it. Only the first call has an
  /// effect.
  awaitable<error_code> sendContinue();
  /// Reads a buffered body completely; does nothing for a streamed one.
  awaitable<error_code> readBuffered(call_cancellation &Cancellation);
  /// Reads the next piece of a streamed body into Piece, at most
  /// MaxBufferedBytes. Size is zero at the end of the body.
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
