#include "mesh/request_reader.h"

#include <algorithm>

#include "net/clock.h"

namespace chivebeam {

namespace {

constexpr std::size_t ReadBytes = 4 << 10;
/// Size of reads in a body.
constexpr std::size_t BodyReadBytes = 64 << 10;
/// A wait without an end is renewed after this time.
constexpr seconds MaxWait{60};

} // namespace

/// Shared with a pending wait for bytes, which goes on after the time limit of
/// a read.
struct request_reader::state {
  explicit state(const asio::any_io_executor &Executor) : Timer(Executor) {}
  asio::steady_timer Timer;
  bool WaitPending = false;
  bool Interrupted = false;
};

request_reader::request_reader(tcp::socket &Connection)
    : Socket(Connection),
      State(std::make_shared<state>(Connection.get_executor())) {
  error_code Ignored;
  Socket.non_blocking(true, Ignored);
}

void request_reader::interrupt() {
  State->Interrupted = true;
  State->Timer.cancel();
}

awaitable<error_code> request_reader::awaitBytes(instant End) {
  return readSome(ReadBytes, End);
}

awaitable<error_code> request_reader::readSome(std::size_t Size, instant End) {
  std::shared_ptr<state> Kept = State;
  Kept->Interrupted = false;
  for (;;) {
    error_code Code;
    std::size_t Got = Socket.read_some(Decoder.prepare(Size), Code);
    Decoder.commit(Got);
    ReceivedBytes += Got;
    if (Code != asio::error::would_block && Code != asio::error::try_again) {
      LastReadAt = currentTime();
      co_return Code;
    }
    instant Now = currentTime();
    if (Now >= End)
      co_return error_code(beast::error::timeout);
    if (!std::exchange(Kept->WaitPending, true))
      Socket.async_wait(tcp::socket::wait_read, [Kept](error_code) {
        Kept->WaitPending = false;
        Kept->Timer.cancel();
      });
    Kept->Timer.expires_after(std::min<microseconds>(End - Now, MaxWait));
    error_code Ignored;
    co_await Kept->Timer.async_wait(orError(Ignored));
    if (Kept->Interrupted)
      co_return error_code(asio::error::operation_aborted);
  }
}

awaitable<error_code> request_reader::readHeader(parser &Parser, instant End) {
  error_code Code = Decoder.parseHeader(Parser);
  while (!Code && !Parser.is_header_done()) {
    Code = co_await readSome(ReadBytes, End);
    if (Code == asio::error::eof)
      co_return error_code(Parser.got_some() ? http::error::partial_message
                                             : http::error::end_of_stream);
    if (!Code)
      Code = Decoder.parseHeader(Parser);
  }
  co_return Code;
}

awaitable<error_code> request_reader::readBody(parser &Parser,
                                               microseconds ProgressTime,
                                               body_reservation &Held) {
  error_code Code = Decoder.parseBody(Parser, Held);
  while (!Code && !Parser.is_done()) {
    Code = co_await readSome(BodyReadBytes, currentTime() + ProgressTime);
    if (Code == asio::error::eof)
      co_return error_code(http::error::partial_message);
    if (!Code)
      Code = Decoder.parseBody(Parser, Held);
  }
  co_return Code;
}

} // namespace chivebeam
