#include "mesh/worker_connection_pool.h"

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// The backend server is on the same machine, so one that takes longer does not
/// accept connections.
constexpr milliseconds ConnectTimeout{300};
/// For this time after a failed connection, calls are refused at once.
constexpr milliseconds UnreachableBackoff{250};
/// Longest idle time of a reused connection. The server may close an older one
/// just as a call is sent. A call that is not idempotent can't be sent again
/// then, so its limit is lower.
constexpr milliseconds MaxIdle{4'000};
constexpr milliseconds MaxIdleNonIdempotent{1'000};
/// Subtracted from the keep-alive time that the backend server announces.
constexpr milliseconds KeepAliveMargin{1'000};

} // namespace

void worker_connection_pool::setServer(const worker_start &Start,
                                       const address &NewAddress) {
  if (Server != Start || At != NewAddress)
    Idle.clear();
  if (Server != Start) {
    Refused = false;
    UnreachableUntil = instant();
  }
  Server = Start;
  At = NewAddress;
}

std::shared_ptr<worker_connection>
worker_connection_pool::takeIdle(const mesh_call &Call) {
  instant Now = currentTime();
  microseconds MaxIdleTime = Call.Idempotent ? MaxIdle : MaxIdleNonIdempotent;
  while (!Idle.empty()) {
    std::shared_ptr<worker_connection> Last = std::move(Idle.back());
    Idle.pop_back();
    microseconds IdleLimit = MaxIdleTime;
    if (Last->KeepAlive.count() > 0)
      IdleLimit =
          std::min<microseconds>(IdleLimit, Last->KeepAlive - KeepAliveMargin);
    if (Now - Last->IdleSince < IdleLimit && Last->isIdle() &&
        !Last->hasRefused(Call.Id))
      return Last;
    Last->close();
  }
  return nullptr;
}

void worker_connection_pool::giveBack(
    std::shared_ptr<worker_connection> Connection) {
  if (Connection->reusable())
    Idle.push_back(std::move(Connection));
}

awaitable<std::shared_ptr<worker_connection>>
worker_connection_pool::acquire(const mesh_call &Call) {
  if (auto Kept = takeIdle(Call))
    co_return Kept;
  co_return co_await open();
}

awaitable<std::shared_ptr<worker_connection>> worker_connection_pool::open() {
  ++Opened;
  address Target = At;
  worker_start Start = *Server;
  worker_connect_result Result =
      co_await connectToWorker(Target, ConnectTimeout, Answers);
  if (Server != Start)
    co_return Result.Connection;
  Refused = Result.Refused;
  if (Result.Connection)
    co_return Result.Connection;
  UnreachableUntil = currentTime() + UnreachableBackoff;
  log_event("worker_unreachable")
      .add("worker", Start.Worker)
      .add("address", Target.text());
  if (Refused)
    OnGone(Start);
  co_return nullptr;
}

} // namespace chivebeam
