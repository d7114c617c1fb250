#include "mesh/request_decoder.h"

#include "net/http_reads.h"

namespace chivebeam {

namespace {

/// Bytes of a body that wait to be parsed: the line before a chunk, which may
/// have extensions of any length, and trailer fields.
constexpr std::size_t MaxUnparsedBodyBytes = 64 << 10;

std::size_t leastBytes(const bounded_request_parser &Parser) {
  return Parser.is_header_done() && Parser.chunked() ? LastChunkBytes : 1;
}

} // namespace

error_code request_decoder::parse(bounded_request_parser &Parser) {
  error_code Code;
  std::size_t Used = 1;
  while (!Code && Used > 0 && Buffer.size() >= leastBytes(Parser) &&
         !Parser.is_done() && (Parser.eager() || !Parser.is_header_done())) {
    Used = Parser.put(Buffer.data(), Code);
    Buffer.consume(Used);
  }
  if (Code == http::error::need_more)
    Code = {};
  return Code;
}

error_code request_decoder::parseHeader(bounded_request_parser &Parser) {
  Parser.eager(false);
  return parse(Parser);
}

error_code request_decoder::parseBody(bounded_request_parser &Parser,
                                      body_reservation &Held) {
  Parser.eager(true);
  const std::uint64_t SizeBefore = Parser.get().body().size();
  error_code Code = parse(Parser);
  const std::uint64_t Added = Parser.get().body().size() - SizeBefore;
  if (!Parser.content_length() && !Held.growTo(Held.bytes() + Added))
    return asio::error::no_memory;
  if (!Code && !Parser.is_done() && Buffer.size() > MaxUnparsedBodyBytes)
    return http::error::body_limit;
  return Code;
}

} // namespace chivebeam
