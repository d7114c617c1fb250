#include "data/request_body.h"

#include "net/http_reads.h"

namespace chivebeam {

namespace {

constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

bool expectsContinue(const http::request_header<> &Header) {
  return Header.version() >= 11 &&
         beast::iequals(Header[http::field::expect], "100-continue");
}

request_body::request_body(beast::tcp_stream &SourceStream,
                           beast::flat_buffer &SourceBuffer,
                           request_parser &RequestParser)
    : Source(SourceStream), Buffer(SourceBuffer), Parser(RequestParser),
      AwaitsContinue(expectsContinue(RequestParser.get())) {
  Streamed = !Parser.is_done() &&
             (!Parser.content_length() ||
              *Parser.content_length() > std::uint64_t{MaxBufferedBytes});
}

awaitable<error_code> request_body::sendContinue() {
  error_code Code;
  if (!AwaitsContinue || Parser.is_done())
    co_return Code;
  AwaitsContinue = false;
  co_await asio::async_write(Source, asio::buffer(ContinueLine), orError(Code));
  co_return Code;
}

awaitable<error_code>
request_body::readBuffered(call_cancellation &Cancellation) {
  if (Streamed || Parser.is_done())
    co_return error_code();
  error_code Code = co_await sendContinue();
  Buffered.resize(static_cast<std::size_t>(*Parser.content_length()));
  std::size_t Size = 0;
  if (!Cancellation.active())
    Code = asio::error::operation_aborted;
  while (!Code && !Parser.is_done()) {
    Parser.get().body().data = Buffered.data() + Size;
    Parser.get().body().size = Buffered.size() - Size;
    Cancellation.onCancel([this] { Source.cancel(); });
    co_await http::async_read_some(Source, Buffer, Parser, orError(Code));
    Cancellation.onCancel(nullptr);
    if (Code == http::error::need_buffer)
      Code = {};
    Size = Buffered.size() - Parser.get().body().size;
    if (!Cancellation.active())
      Code = asio::error::operation_aborted;
  }
  Buffered.resize(Size);
  co_return Code;
}

awaitable<error_code> request_body::readPiece(char *Piece, std::size_t &Size,
                                              call_cancellation &Cancellation) {
  constexpr std::size_t PieceBytes = MaxBufferedBytes;
  error_code Code;
  Size = 0;
  Unread = false;
  Cancellation.stopWatching();
  while (Size == 0 && !Parser.is_done() && !Code) {
    if (!Cancellation.active())
      co_return asio::error::operation_aborted;
    Parser.get().body().data = Piece;
    Parser.get().body().size = PieceBytes;
    Cancellation.onCancel([this] { Source.cancel(); });
    Code = co_await readSome(Source, Buffer, Parser);
    Cancellation.onCancel(nullptr);
    if (Code == http::error::need_buffer)
      Code = {};
    Size = PieceBytes - Parser.get().body().size;
  }
  co_return Code;
}

} // namespace chivebeam
