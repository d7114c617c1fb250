#include "mesh/caller_listener.h"

#include <algorithm>

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// Interval at which connections are looked for that can be closed.
constexpr milliseconds RoomInterval{50};
constexpr milliseconds AcceptRetryDelay{20};
/// Slow requests and answers that are ended at once.
constexpr std::size_t MaxEndedAtOnce = 32;

} // namespace

void caller_listener::start() {
  asio::co_spawn(Context, acceptLoop(), asio::detached);
}

awaitable<void> caller_listener::acceptLoop() {
  while (Acceptor.is_open()) {
    // New connections wait in the queue of the kernel meanwhile.
    if (Open.size() >=
        connection_limit::ofCallers(Settings.MaxDescriptors, Settings.Doors)) {
      makeRoom(currentTime());
      co_await sleepFor(RoomInterval);
      continue;
    }
    error_code Code;
    tcp::socket Socket = co_await Acceptor.async_accept(orError(Code));
    if (Code == asio::error::operation_aborted)
      co_return;
    if (!Code) {
      openSession(std::move(Socket));
      continue;
    }
    log_event("accept_failed").add("error", Code.message());
    co_await sleepFor(AcceptRetryDelay);
  }
}

void caller_listener::makeRoom(instant Now) {
  Sessions.Metrics.count("sessions_crowded");
  closeIdle();
  std::vector<caller_session *> Moving;
  std::vector<transfer_progress> Progress;
  for (caller_session *Session : Open)
    if (auto Transfer = Session->transfer(Now)) {
      Moving.push_back(Session);
      Progress.push_back(*Transfer);
    }
  std::vector<std::size_t> Slowest =
      crowd_control::slowest(Progress, MaxEndedAtOnce, Settings.Doors);
  std::size_t Answers = 0;
  for (std::size_t Index : Slowest) {
    Moving[Index]->endTransfer();
    Answers += Progress[Index].IsAnswer ? 1 : 0;
  }
  if (!Slowest.empty())
    noteEnded(Slowest.size() - Answers, Answers);
}

void caller_listener::noteEnded(std::size_t Requests, std::size_t Answers) {
  if (Requests > 0)
    Sessions.Metrics.count("slow_requests_ended");
  if (Answers > 0)
    Sessions.Metrics.count("slow_answers_ended");
  log_event("slow_requests_ended")
      .add("requests", Requests)
      .add("answers", Answers)
      .add("sessions", Open.size());
}

void caller_listener::openSession(tcp::socket Socket) {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
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
