#include "mesh/caller_listener.h"

#include <algorithm>

#include "net/accept_loop.h"

namespace chivebeam {

namespace {

/// File descriptors that are reserved for uses other than callers' connections.
constexpr unsigned ReservedDescriptors = 500;

} // namespace

void caller_listener::start() {
  asio::co_spawn(Context,
                 acceptLoop(Acceptor,
                            [this](tcp::socket Socket) {
                              openSession(std::move(Socket));
                            }),
                 asio::detached);
}

void caller_listener::openSession(tcp::socket Socket) {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  // A new call has priority over an idle connection, so idle ones are closed to
  // free descriptors.
  if (Open.size() + ReservedDescriptors >= Settings.MaxDescriptors) {
    Sessions.Metrics.count("sessions_crowded");
    closeIdle();
  }
  asio::co_spawn(Context, runSession(std::move(Socket)), asio::detached);
}

awaitable<void> caller_listener::runSession(tcp::socket Socket) {
  caller_session Session(Sessions, std::move(Socket));
  Open.insert(&Session);
  co_await Session.run();
  Open.erase(&Session);
}

void caller_listener::closeIdle() {
  for (caller_session *Session : Open)
    Session->closeIfIdle();
}

void caller_listener::setIdleTimeout(milliseconds IdleTimeout) {
  if (std::exchange(IdleTimeoutInForce, IdleTimeout) == IdleTimeout)
    return;
  for (caller_session *Session : Open)
    Session->extendIdleTime();
}

bool caller_listener::isBusy() const {
  return std::any_of(
      Open.begin(), Open.end(),
      [](const caller_session *Session) { return Session->isBusy(); });
}

} // namespace chivebeam
