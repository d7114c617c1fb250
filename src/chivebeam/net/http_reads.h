#pragma once

#include <algorithm>
#include <new>
#include <stdexcept>

#include "net/answer_head_error.h"

namespace chivebeam {

/// A body in chunks that has not ended has at least these bytes ahead of it,
/// its last chunk. The HTTP library ends the process if it is asked to go on
/// with fewer.
inline constexpr std::size_t LastChunkBytes = 5;

/// Bytes of an answer that wait to be parsed: its head, or the line before a
/// chunk, which may have extensions of any length, or its trailer.
inline constexpr std::size_t MaxUnparsedAnswerBytes = 128 << 10;

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

/// Reads the head of an answer and parses it. The head is checked as it
/// arrived, since the parser passes over some of its faults. Returns an error
/// of answerHeadCategory for a head that is refused, header_limit for one that
/// is too long. \pre nothing has been parsed yet; Buffer may hold
/// MaxAnswerHeadBytes
template <typename Stream, typename AnswerParser>
awaitable<error_code> readAnswerHead(Stream &Source, beast::flat_buffer &Buffer,
                                     AnswerParser &Parser) {
  constexpr std::size_t ReadBytes = 2 << 10;
  error_code Code;
  std::size_t HeadBytes = 0;
  for (std::size_t Searched = 0;;) {
    std::string_view Bytes(static_cast<const char *>(Buffer.data().data()),
                           Buffer.size());
    if (!mayBeginAnswer(Bytes))
      co_return makeErrorCode(answer_head_fault::status_line);
    HeadBytes = findHeadEnd(Bytes, Searched);
    if (HeadBytes > 0) {
      if (auto Fault = checkAnswerHead(Bytes.substr(0, HeadBytes)))
        co_return makeErrorCode(*Fault);
      break;
    }
    if (Bytes.size() >= MaxAnswerHeadBytes)
      co_return error_code(http::error::header_limit);
    Searched = Bytes.size();
    std::size_t Room = MaxAnswerHeadBytes - Searched;
    std::size_t Got = co_await Source.async_read_some(
        Buffer.prepare(std::min(ReadBytes, Room)), orError(Code));
    Buffer.commit(Got);
    if (Code == asio::error::eof)
      Code = Buffer.size() > 0 ? http::error::partial_message
                               : http::error::end_of_stream;
    if (Code)
      co_return Code;
  }
  Parser.header_limit(MaxAnswerHeadBytes);
  Parser.eager(false);
  Buffer.consume(Parser.put(Buffer.data(), Code));
  co_return Code;
}

} // namespace chivebeam
