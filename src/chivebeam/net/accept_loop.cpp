#include "net/accept_loop.h"

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr std::chrono::milliseconds AcceptRetryDelay{20};

} // namespace

awaitable<void> acceptLoop(tcp::acceptor &Acceptor,
                           std::function<void(tcp::socket)> Handler) {
  while (Acceptor.is_open()) {
    error_code Code;
    tcp::socket Socket = co_await Acceptor.async_accept(orError(Code));
    if (Code == asio::error::operation_aborted)
      co_return;
    if (!Code) {
      Handler(std::move(Socket));
      continue;
    }
    log_event("accept_failed").add("error", Code.message());
    co_await sleepFor(AcceptRetryDelay);
  }
}

} // namespace chivebeam
