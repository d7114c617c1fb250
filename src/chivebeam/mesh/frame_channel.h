#pragma once

#include <deque>
#include <functional>

#include "net/asio_types.h"
#include "wire/peer_frame.h"

namespace chivebeam {

/// A connection between two nodes that carries frames in both directions.
/// Queued frames are written together. Runs on one io_context; not thread safe.
class frame_channel : public std::enable_shared_from_this<frame_channel> {
public:
  using frame_handler = std::function<void(peer_frame)>;
  using close_handler = std::function<void()>;

  explicit frame_channel(tcp::socket Socket) : Socket(std::move(Socket)) {}

  /// Starts reading. OnClose is called once, when either side has closed the
  /// connection or it broke; OnFrame is not called after that.
  void start(frame_handler OnFrame, close_handler OnClose);
  /// Sends a frame; frames for a closed channel are dropped.
  void send(const peer_frame &Frame);
  void close();
  bool isOpen() const { return Open; }
  instant lastReceived() const { return LastReceived; }
  /// True while frames are being written or wait to be written.
  bool isSending() const { return Writing; }
  /// Returns the IP address of the other side.
  std::string remoteIp() const;

private:
  awaitable<void> read();
  awaitable<void> write();
  /// Parses the complete frames in the buffer and passes them to OnFrame;
  /// returns false if one can't be decoded.
  bool parseFrames();

  tcp::socket Socket;
  beast::flat_buffer Buffer;
  std::deque<shared_body> Outgoing;
  std::size_t OutgoingBytes = 0;
  bool Writing = false;
  bool Open = true;
  instant LastReceived;
  frame_handler OnFrame;
  close_handler OnClose;
};

/// Sets the socket options of a connection between nodes: no delay, and a
/// timeout after which unacknowledged data ends the connection.
void configurePeerSocket(tcp::socket &Socket);

} // namespace chivebeam
