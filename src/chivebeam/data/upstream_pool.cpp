#include "data/upstream_pool.h"

#include <sys/socket.h>

#include "net/clock.h"

namespace chivebeam {

namespace {

constexpr milliseconds PreconnectTimeout{1'000};

/// True if the other side neither closed the connection nor sent bytes.
bool isIdle(beast::tcp_stream &Stream) {
  char Byte = 0;
  ssize_t Received = ::recv(Stream.socket().native_handle(), &Byte, 1,
                            MSG_PEEK | MSG_DONTWAIT);
  return Received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

upstream_stream upstream_pool::takeIdle(const address &Server, instant Oldest) {
  auto Found = Idle.find(Server);
  if (Found == Idle.end())
    return nullptr;
  std::vector<idle_stream> &Streams = Found->second;
  // Sorted by time of last use; the most recently used is last.
  while (!Streams.empty() && Streams.back().Since >= Oldest) {
    upstream_stream Stream = std::move(Streams.back().Stream);
    Streams.pop_back();
    if (isIdle(*Stream))
      return Stream;
  }
  // The caller opens a new connection. Close a stale one for it, so that the
  // number of open connections does not grow.
  if (!Streams.empty())
    Streams.erase(Streams.begin());
  return nullptr;
}

awaitable<upstream_stream>
upstream_pool::acquire(const address &Server, microseconds MaxIdle,
                       call_cancellation &Cancellation,
                       microseconds *ConnectTime) {
  instant Started = currentTime();
  if (upstream_stream Reused = takeIdle(Server, Started - MaxIdle))
    co_return Reused;
  if (!Cancellation.active())
    co_return nullptr;
  auto Stream = std::make_unique<beast::tcp_stream>(Context);
  Cancellation.onCancel([Raw = Stream.get()] { Raw->close(); });
  Cancellation.watchCaller();
  error_code Code;
  co_await Stream->async_connect(toTcp(Server), orError(Code));
  Cancellation.onCancel(nullptr);
  Cancellation.stopWatching();
  if (Code || !Cancellation.active())
    co_return nullptr;
  if (ConnectTime)
    *ConnectTime = currentTime() - Started;
  Stream->socket().set_option(tcp::no_delay(true), Code);
  co_return Stream;
}

void upstream_pool::release(const address &Server, upstream_stream Stream,
                            instant Now) {
  Stream->expires_never();
  Idle[Server].push_back({std::move(Stream), Now});
}

std::size_t upstream_pool::idleCount(const address &Server) const {
  auto Found = Idle.find(Server);
  return Found == Idle.end() ? 0 : Found->second.size();
}

awaitable<void> upstream_pool::preconnect(address Server, std::size_t Count) {
  while (idleCount(Server) < Count) {
    auto Stream = std::make_unique<beast::tcp_stream>(Context);
    Stream->expires_after(PreconnectTimeout);
    error_code Code;
    co_await Stream->async_connect(toTcp(Server), orError(Code));
    if (Code)
      co_return;
    Stream->socket().set_option(tcp::no_delay(true), Code);
    release(Server, std::move(Stream), currentTime());
  }
}

void upstream_pool::closeIdle(instant Limit) {
  for (auto &[Server, Streams] : Idle)
    std::erase_if(Streams, [&](const idle_stream &Stream) {
      return Stream.Since < Limit || !isIdle(*Stream.Stream);
    });
  std::erase_if(Idle, [](const auto &Item) { return Item.second.empty(); });
}

} // namespace chivebeam
