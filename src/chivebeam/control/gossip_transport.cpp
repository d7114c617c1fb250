#include "control/gossip_transport.h"

#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr std::size_t MaxDatagramBytes = 64 << 10;
constexpr std::uint64_t HeaderBytes = 28; ///< IPv4 and UDP headers
constexpr int ReceiveBufferBytes = 1 << 20;

} // namespace

gossip_transport::gossip_transport(asio::io_context &IoContext,
                                   handler NewHandler)
    : Context(IoContext), Socket(IoContext), Handler(std::move(NewHandler)) {}

result<void> gossip_transport::open(const address &ListenAddress) {
  error_code Code;
  Socket.open(toUdp(ListenAddress).protocol(), Code);
  if (!Code)
    Socket.bind(toUdp(ListenAddress), Code);
  if (Code)
    return tl::unexpected(
        error{error_kind::unavailable, ListenAddress.text(),
              "cannot bind the UDP socket: " + Code.message(),
              "choose a port that is free for both TCP and UDP"});
  error_code Ignored;
  Socket.set_option(udp::socket::receive_buffer_size(ReceiveBufferBytes),
                    Ignored);
  Socket.non_blocking(true, Ignored);
  asio::co_spawn(Context, receiveLoop(), asio::detached);
  return {};
}

awaitable<void> gossip_transport::receiveLoop() {
  std::vector<char> Bytes(MaxDatagramBytes);
  while (Socket.is_open()) {
    udp::endpoint From;
    error_code Code;
    std::size_t Size = co_await Socket.async_receive_from(asio::buffer(Bytes),
                                                          From, orError(Code));
    if (Code == asio::error::operation_aborted)
      co_return;
    if (!Code)
      onDatagram({Bytes.data(), Size}, toAddress(From));
  }
}

void gossip_transport::onDatagram(std::string_view Bytes, const address &From) {
  ++Traffic.DatagramsReceived;
  Traffic.BytesReceived += Bytes.size() + HeaderBytes;
  result<datagram_content> Content = decodeDatagram(Bytes);
  if (Content) {
    Handler(*Content, From);
    return;
  }
  countRefused();
  // Logs again only when the number of refused datagrams has doubled.
  if (Traffic.DatagramsRefused < NextRefusalLogged)
    return;
  NextRefusalLogged = Traffic.DatagramsRefused * 2;
  log_event("datagram_refused")
      .add("from", From.text())
      .add("refused", Traffic.DatagramsRefused)
      .add("error", Content.error().text());
}

void gossip_transport::send(const address &To,
                            const datagram_content &Content) {
  error_code Code;
  asio::ip::address Ip = asio::ip::make_address(To.Ip, Code);
  if (Code)
    return;
  std::string Bytes = encodeDatagram(Content);
  Socket.send_to(asio::buffer(Bytes), {Ip, To.Port}, 0, Code);
  if (Code)
    return;
  ++Traffic.DatagramsSent;
  Traffic.BytesSent += Bytes.size() + HeaderBytes;
}

void gossip_transport::send(const std::vector<addressed_message> &Messages) {
  for (const addressed_message &Message : Messages)
    send(Message.To, Message.Message);
}

} // namespace chivebeam
