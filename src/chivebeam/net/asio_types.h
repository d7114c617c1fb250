#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/address.h"

namespace chivebeam {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;

/// Completion token that stores the error in Code instead of throwing.
inline auto orError(error_code &Code) {
  return asio::redirect_error(asio::use_awaitable, Code);
}

/// \pre Address holds a valid IP address.
inline tcp::endpoint toTcp(const address &Address) {
  return {asio::ip::make_address(Address.Ip), Address.Port};
}
inline udp::endpoint toUdp(const address &Address) {
  return {asio::ip::make_address(Address.Ip), Address.Port};
}
template <typename Endpoint> address toAddress(const Endpoint &Point) {
  return {Point.address().to_string(), Point.port()};
}

/// Suspends the coroutine for Duration; returns early if the timer is
/// cancelled.
inline awaitable<void> sleepFor(std::chrono::microseconds Duration) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Duration);
  error_code Ignored;
  co_await Timer.async_wait(orError(Ignored));
}

} // namespace chivebeam
