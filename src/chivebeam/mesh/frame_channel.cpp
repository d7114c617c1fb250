#include "mesh/frame_channel.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr std::size_t ReadBytes = 16 << 10;
/// A peer is disconnected when more than this waits to be sent to it.
constexpr std::size_t MaxOutgoingBytes = 32 << 20;
/// Buffers that are passed to one write call.
constexpr std::size_t MaxBuffersPerWrite = 32;
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
  auto Head = std::make_shared<const std::string>(
      encodeFrameHead(Frame, currentTime()));
  OutgoingBytes += Head->size();
  Outgoing.push_back(std::move(Head));
  shared_body Body = bodyOf(Frame);
  if (Body && !Body->empty()) {
    OutgoingBytes += Body->size();
    Outgoing.push_back(std::move(Body));
  }
  if (OutgoingBytes > MaxOutgoingBytes) {
    log_event("peer_stuck").add("bytes", OutgoingBytes);
    close();
    return;
  }
  if (Writing)
    return;
  Writing = true;
  asio::co_spawn(Socket.get_executor(), write(), asio::detached);
}

awaitable<void> frame_channel::write() {
  std::shared_ptr<frame_channel> Self = shared_from_this();
  while (Open && !Outgoing.empty()) {
    std::vector<shared_body> Batch;
    std::vector<asio::const_buffer> Buffers;
    while (!Outgoing.empty() && Batch.size() < MaxBuffersPerWrite) {
      Batch.push_back(std::move(Outgoing.front()));
      Outgoing.pop_front();
      Buffers.push_back(asio::buffer(*Batch.back()));
    }
    error_code Code;
    std::size_t Written =
        co_await asio::async_write(Socket, Buffers, orError(Code));
    OutgoingBytes -= std::min(OutgoingBytes, Written);
    if (Code)
      close();
  }
  Writing = false;
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
  while (Open && Buffer.size() >= FramePrefixBytes) {
    const char *Start = static_cast<const char *>(Buffer.data().data());
    result<frame_sizes> Sizes = decodeFrameSizes({Start, FramePrefixBytes});
    if (!Sizes)
      return false;
    std::size_t Whole = FramePrefixBytes + Sizes->Head + Sizes->Body;
    if (Buffer.size() < Whole) {
      Buffer.reserve(Whole);
      return true;
    }
    std::string_view Head(Start + FramePrefixBytes, Sizes->Head);
    std::string Body(Start + FramePrefixBytes + Sizes->Head, Sizes->Body);
    result<peer_frame> Frame =
        decodeFrame(Head, std::move(Body), currentTime());
    Buffer.consume(Whole);
    if (!Frame) {
      log_event("bad_frame")
          .add("from", remoteIp())
          .add("error", Frame.error().text());
      return false;
    }
    if (OnFrame)
      OnFrame(std::move(*Frame));
  }
  return true;
}

awaitable<void> frame_channel::read() {
  std::shared_ptr<frame_channel> Self = shared_from_this();
  error_code Code;
  while (Open) {
    std::size_t Got = co_await Socket.async_read_some(Buffer.prepare(ReadBytes),
                                                      orError(Code));
    if (Code)
      break;
    Buffer.commit(Got);
    LastReceived = currentTime();
    if (!parseFrames())
      break;
  }
  close();
}

} // namespace chivebeam
