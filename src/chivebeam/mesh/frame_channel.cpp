#include "mesh/frame_channel.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr std::size_t ReadBytes = 16 << 10;
/// Calls and answers are not added while more bytes of frames wait.
constexpr std::size_t MaxWaitingFrameBytes = 32 << 20;
/// The connection is closed if bytes wait and none is taken for this time.
constexpr milliseconds StuckLimit{5'000};
/// This process was suspended if it did not check for longer than this.
constexpr milliseconds MaxCheckGap{1'000};
/// Unsent bytes in the socket's buffer. Frames wait behind them, so they must
/// take little time on a slow link.
constexpr int MaxUnsentBytes = 128 << 10;
/// Data that stays unacknowledged for this time ends the connection.
constexpr milliseconds UnacknowledgedLimit{2'000};

} // namespace

void configurePeerSocket(tcp::socket &Socket) {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  auto Millis = static_cast<unsigned>(UnacknowledgedLimit.count());
  if (::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                   &Millis, sizeof Millis) != 0)
    log_event("socket_option_failed").add("option", "TCP_USER_TIMEOUT");
  if (::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                   &MaxUnsentBytes, sizeof MaxUnsentBytes) != 0)
    log_event("socket_option_failed").add("option", "TCP_NOTSENT_LOWAT");
}

void frame_channel::start(frame_handler FrameHandler,
                          close_handler CloseHandler) {
  OnFrame = std::move(FrameHandler);
  OnClose = std::move(CloseHandler);
  LastReceived = currentTime();
  asio::co_spawn(Socket.get_executor(), read(), asio::detached);
}

std::string frame_channel::remoteIp() const {
  error_code Code;
  tcp::endpoint Remote = Socket.remote_endpoint(Code);
  return Code ? std::string() : Remote.address().to_string();
}

void frame_channel::send(const peer_frame &Frame) {
  if (!Open)
    return;
  shared_body Body = bodyOf(Frame);
  std::size_t Size = Body ? Body->size() : 0;
  Outgoing.addFrame(encodeFrameHead(Frame, Size, currentTime()),
                    std::move(Body));
  startWriting();
}

void frame_channel::sendBody(std::uint64_t Call, shared_body Body,
                             outgoing_queue::sent_handler OnLastPart) {
  if (!Open)
    return;
  Outgoing.addBody(Call, std::move(Body), std::move(OnLastPart));
  startWriting();
}

bool frame_channel::isCongested() const {
  return Outgoing.frameBytes() > MaxWaitingFrameBytes;
}

void frame_channel::startWriting() {
  if (Writing)
    return;
  Writing = true;
  LastProgress = currentTime();
  asio::co_spawn(Socket.get_executor(), write(), asio::detached);
}

awaitable<void> frame_channel::write() {
  std::shared_ptr<frame_channel> Self = shared_from_this();
  while (Open && !Outgoing.empty()) {
    outgoing_batch Batch = Outgoing.takeBatch(currentTime());
    std::vector<asio::const_buffer> Buffers;
    Buffers.reserve(Batch.Pieces.size());
    for (std::string_view Piece : Batch.Pieces)
      Buffers.push_back(asio::buffer(Piece));
    auto RecordProgress = [this](const error_code &Code, std::size_t) {
      LastProgress = currentTime();
      return Code ? std::size_t{0} : std::size_t{MaxUnsentBytes};
    };
    error_code Code;
    co_await asio::async_write(Socket, Buffers, RecordProgress, orError(Code));
    if (Code)
      close();
  }
  Writing = false;
}

void frame_channel::closeIfStuck(instant Now) {
  if (Now > StuckCheckedAt + MaxCheckGap)
    LastProgress = std::max(LastProgress, Now);
  StuckCheckedAt = Now;
  if (!Open || !Writing || Now < LastProgress + StuckLimit)
    return;
  log_event("peer_stuck")
      .add("peer", remoteIp())
      .add("waiting_ms", (Now - LastProgress).count() / 1'000);
  close();
}

void frame_channel::close() {
  if (!Open)
    return;
  Open = false;
  error_code Ignored;
  Socket.close(Ignored);
  Outgoing.clear();
  OnFrame = nullptr;
  if (close_handler Handler = std::move(OnClose))
    asio::post(Socket.get_executor(), std::move(Handler));
  OnClose = nullptr;
}

bool frame_channel::parseFrames() {
  while (Open) {
    result<std::optional<peer_frame>> Frame = Decoder.next(currentTime());
    if (!Frame) {
      log_event("bad_frame")
          .add("from", remoteIp())
          .add("error", Frame.error().text());
      return false;
    }
    if (!*Frame)
      return true;
    if (OnFrame)
      OnFrame(std::move(**Frame));
  }
  return true;
}

awaitable<void> frame_channel::read() {
  std::shared_ptr<frame_channel> Self = shared_from_this();
  error_code Code;
  while (Open) {
    std::size_t Got = co_await Socket.async_read_some(
        Decoder.prepare(ReadBytes), orError(Code));
    if (Code)
      break;
    Decoder.commit(Got);
    LastReceived = currentTime();
    if (!parseFrames())
      break;
  }
  close();
}

} // namespace chivebeam
