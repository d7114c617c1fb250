#pragma once

#include <functional>

#include "net/asio_types.h"
#include "wire/node_messages.h"

namespace chivebeam {

/// Counters of the control plane's datagrams. Byte counts include the IP and
/// UDP headers.
struct control_traffic {
  std::uint64_t DatagramsSent = 0;
  std::uint64_t DatagramsReceived = 0;
  std::uint64_t DatagramsRefused = 0; ///< malformed or from another fleet
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
};

/// Sends and receives the datagrams between this node and its peers and counts
/// them. Runs on one io_context; not thread safe.
class gossip_transport {
public:
  using handler =
      std::function<void(const datagram_content &Content, const address &From)>;

  /// \pre Context outlives the transport.
  gossip_transport(asio::io_context &Context, handler Handler);

  /// Binds the socket and starts to receive.
  result<void> open(const address &ListenAddress);
  void send(const address &To, const datagram_content &Content);
  void send(const std::vector<addressed_message> &Messages);
  /// Counts a well-formed datagram that is not for this node's fleet.
  void countRefused() { ++Traffic.DatagramsRefused; }
  const control_traffic &traffic() const { return Traffic; }

private:
  awaitable<void> receiveLoop();
  void onDatagram(std::string_view Bytes, const address &From);

  asio::io_context &Context;
  udp::socket Socket;
  handler Handler;
  control_traffic Traffic;
  std::uint64_t NextRefusalLogged = 1;
};

} // namespace chivebeam
