#pragma once

#include <functional>

#include "mesh/frame_decoder.h"
#include "mesh/outgoing_queue.h"

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
  /// Sends the body of a call in parts, so that frames pass between them.
  /// OnLastPart is called before the last part is written. \pre Body is not
  /// empty, and the other side accepts parts.
  void sendBody(std::uint64_t Call, shared_body Body,
                outgoing_queue::sent_handler OnLastPart);
  /// Sends no more of the body of this call.
  void cancelBody(std::uint64_t Call) { Outgoing.removeBody(Call); }
  void close();
  /// Closes the connection if the other side has taken no byte for a while
  /// although bytes wait. Must be called several times a second; time in which
  /// it was not called doesn't count, since this process was suspended.
  void closeIfStuck(instant Now);
  bool isOpen() const { return Open; }
  instant lastReceived() const { return LastReceived; }
  /// True while bytes are being written or wait to be written.
  bool isSending() const { return Writing; }
  /// True if so many frames wait that calls and answers must not be added.
  bool isCongested() const;
  /// Returns the IP address of the other side.
  std::string remoteIp() const;

private:
  awaitable<void> read();
  awaitable<void> write();
  void startWriting();
  /// Parses the complete frames in the buffer and passes them to OnFrame;
  /// returns false if one can't be decoded.
  bool parseFrames();

  tcp::socket Socket;
  frame_decoder Decoder;
  outgoing_queue Outgoing;
  bool Writing = false;
  instant LastProgress; ///< when the other side last took bytes
  instant StuckCheckedAt;
  bool Open = true;
  instant LastReceived;
  frame_handler OnFrame;
  close_handler OnClose;
};

/// Sets the socket options of a connection between nodes: no delay, a bound of
/// the bytes that wait in the socket, and a timeout after which unacknowledged
/// data ends the connection.
void configurePeerSocket(tcp::socket &Socket);

} // namespace chivebeam
