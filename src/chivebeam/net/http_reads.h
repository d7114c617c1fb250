#pragma once

#include <new>
#include <stdexcept>

#include "net/asio_types.h"

namespace chivebeam {

/// A body in chunks that has not ended has at least these bytes ahead of it,
/// its last chunk. The HTTP library ends the process if it is asked to go on
/// with fewer.
inline constexpr std::size_t LastChunkBytes = 5;

/// Reads and parses a part of a message, as http::async_read_some does. What
/// the HTTP library throws is an error of this message alone. \pre the parser
/// is not eager and not done
template <typename Stream, typename MessageParser>
awaitable<error_code> readSome(Stream &Source, beast::flat_buffer &Buffer,
                               MessageParser &Parser) {
  constexpr std::size_t ReadBytes = 512;
  error_code Code;
  while (Parser.is_header_done() && Parser.chunked() &&
         Buffer.size() < LastChunkBytes) {
    std::size_t Got = co_await Source.async_read_some(Buffer.prepare(ReadBytes),
                                                      orError(Code));
    Buffer.commit(Got);
    if (Code == asio::error::eof)
      Code = http::error::partial_message;
    if (Code)
      co_return Code;
  }
  try {
    co_await http::async_read_some(Source, Buffer, Parser, orError(Code));
  } catch (const std::length_error &) {
    Code = http::error::header_limit;
  } catch (const std::bad_alloc &) {
    Code = asio::error::no_memory;
  }
  co_return Code;
}

} // namespace chivebeam
