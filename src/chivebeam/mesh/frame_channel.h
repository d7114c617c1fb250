#pragma once

#include <deque>
#include <functional>

#include "net/asio_types.h"
#include "wire/peer_frame.h"

namespace chivebeam {

/// A connection between two nodes that carries frames both ways. Frames that
/// wait to be written go out together. Runs on one io_context; not thread safe.
class frame_channel : public std::enable_shared_from_this<frame_channel> {
public:
  using frame_handler = std::function<void(peer_frame)>;
  using close_handler = std::function<void()>;

  explicit frame_channel(tcp::socket Socket) : Socket(std::move(Socket)) {}

  /// Begins to read. OnClose is called once, when either side has closed it or
  /// it broke; no frame comes after that.
  void start(frame_handler OnFrame, close_handler OnClose);
  /// Sends a frame; frames for a channel that is closed are dropped.
  void send(const peer_frame &Frame);
  void close();
  bool isOpen() const { return Open; }
  instant lastReceived() const { return LastReceived; }
  /// True while frames wait for the link to take them.
  bool isSending() const { return Writing; }
  /// Returns the other side's IP address.
  std::string remoteIp() const;

private:
  awaitable<void> read();
  awaitable<void> write();
  /// Takes whole frames out of the buffer; false if they can't be read.
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

/// Sets what a connection between nodes needs: no delay, and an end after a
/// while if the other side does not acknowledge what is sent.
void configurePeerSocket(tcp::socket &Socket);

} // namespace chivebeam
