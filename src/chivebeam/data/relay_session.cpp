#include "data/relay_session.h"

#include "data/request_checks.h"
#include "data/session_tools.h"
#include "net/clock.h"

namespace chivebeam {

namespace {

constexpr milliseconds DefaultTimeout{1'000};
constexpr std::int64_t MaxTimeoutMillis = 600'000;
/// A backend server may close a connection that is idle for longer just as a
/// call is sent. The limit is lower for calls that can't be retried.
constexpr milliseconds MaxIdle{9'000};
constexpr milliseconds MaxIdleNonIdempotent{2'000};
/// Number of free slots that a node reports if it accepts no calls.
constexpr int NotAcceptingSlots = -1'000;

instant deadlineOf(const http::fields &Fields, instant Now) {
  std::optional<std::int64_t> Millis = parseNumber(
      fieldOf(Fields, TimeoutField), DefaultTimeout.count(), MaxTimeoutMillis);
  return Now + milliseconds(Millis.value_or(0));
}

/// True for the statuses by which a backend server itself refuses a call.
bool isRefusal(unsigned Status) {
  return Status == static_cast<unsigned>(http::status::service_unavailable) ||
         Status == static_cast<unsigned>(http::status::too_many_requests);
}

} // namespace

relay_session::relay_session(data_plane &DataPlane, tcp::socket Socket)
    : Plane(DataPlane), Stream(std::move(Socket)),
      CallerWatcher(Stream.socket()) {}

awaitable<void> relay_session::run() {
  for (bool Open = true; Open;) {
    request_parser Request;
    Request.header_limit(
        static_cast<std::uint32_t>(Plane.settings().Limits.MaxHeaderBytes * 2));
    Request.body_limit(Plane.settings().Limits.MaxBodyBytes);
    Stream.expires_after(Plane.settings().Limits.IdleTimeout);
    error_code Code;
    co_await http::async_read_header(Stream, Buffer, Request, orError(Code));
    Stream.expires_never();
    if (Code)
      break;
    Plane.callStarted();
    Open = co_await serveCall(Request);
    Plane.callEnded();
  }
  if (Stream.socket().is_open())
    co_await closeGracefully(Stream);
}

bool relay_session::acceptsCalls() const {
  return Plane.worker().Slots > 0 && !Plane.draining();
}

awaitable<bool> relay_session::refuse(const call &Call,
                                      const request_body &Body,
                                      call_result Result,
                                      std::string_view Title) {
  problem Problem{http::status::service_unavailable, Result, std::string(Title),
                  "send it again after the time in Retry-After",
                  Plane.queue().retryAfter()};
  if (Result == call_result::unknown) {
    Problem.Status = http::status::gateway_timeout;
    Problem.Remedy = "find out whether it ran before sending it again";
    Problem.RetryAfter = seconds(0);
  }
  // The entry node sends a streamed body only after 100 Continue, so an unread
  // one leaves no bytes on the connection.
  bool NoUnreadBytes =
      Body.isComplete() || (Body.isStreamed() && Body.isUnread());
  co_return co_await sendProblem(
      Stream, Problem, Call.Id, Call.KeepAlive && NoUnreadBytes,
      acceptsCalls() ? Plane.queue().freeSlots() : NotAcceptingSlots);
}

relay_session::call relay_session::readCall(http::fields &Fields) const {
  call Call;
  Call.Id = fieldOf(Fields, RequestIdField);
  Call.Route = route_name(fieldOf(Fields, RouteField));
  Call.Class =
      parseWorkClass(fieldOf(Fields, ClassField)).value_or(work_class::status);
  Call.Workspace = workspace_name(fieldOf(Fields, TenantField));
  Fields.erase(toBeast(RouteField));
  Fields.erase(toBeast(ClassField));
  Call.Idempotent = Call.Class == work_class::status;
  return Call;
}

awaitable<bool> relay_session::serveCall(request_parser &Request) {
  instant Now = currentTime();
  call_cancellation Cancellation(Stream.get_executor(), CallerWatcher,
                                 deadlineOf(Request.get(), Now), Now);
  request_body Body(Stream, Buffer, Request);
  call Call = readCall(Request.get());
  Call.KeepAlive = Request.get().keep_alive();
  if (co_await Body.readBuffered(Cancellation))
    co_return false;
  removeConnectionFields(Request.get());
  if (!acceptsCalls())
    co_return co_await refuse(Call, Body, call_result::not_run,
                              "the backend server takes no new calls");
  if (!co_await Plane.queue().acquireSlot(Call.Class, Call.Workspace,
                                          Cancellation)) {
    if (Cancellation.cancelReason() == cancel_reason::caller_gone)
      co_return false;
    co_return co_await refuse(Call, Body, call_result::not_run,
                              "the backend server is busy");
  }
  co_return co_await runAdmitted(Call, Request, Body, Cancellation);
}

awaitable<bool> relay_session::runAdmitted(const call &Call,
                                           request_parser &Request,
                                           request_body &Body,
                                           call_cancellation &Cancellation) {
  upstream_stream Upstream = co_await Plane.pool().acquire(
      Plane.worker().Worker, Call.Idempotent ? MaxIdle : MaxIdleNonIdempotent,
      Cancellation);
  if (Upstream)
    co_return co_await runOnWorker(Call, std::move(Upstream), Request, Body,
                                   Cancellation);
  Plane.queue().releaseUnusedSlot();
  if (Cancellation.cancelReason() == cancel_reason::caller_gone)
    co_return false;
  report(Call, true, microseconds(0));
  co_return co_await refuse(Call, Body, call_result::not_run,
                            "the backend server can't be reached");
}

void relay_session::report(const call &Call, bool Failed,
                           microseconds Duration) {
  call_outcome Outcome;
  Outcome.Route = Call.Route;
  Outcome.Class = Call.Class;
  Outcome.Workspace = Call.Workspace;
  Outcome.Failed = Failed;
  Outcome.Duration = Duration;
  Plane.report(std::move(Outcome));
}

/// Reports a call that its caller cancelled with its duration so far and not as
/// a failure. So a slow version is detected, but callers with short timeouts
/// don't add failures.
void relay_session::finishCall(const call &Call, const exchange_result &Result,
                               cancel_reason Reason, microseconds Duration) {
  bool Cancelled = Reason == cancel_reason::caller_gone ||
                   Result.End == exchange_end::caller_gone ||
                   Result.End == exchange_end::bad_request;
  bool Complete = Result.End == exchange_end::passed_on;
  bool Failed = !Cancelled && (!Complete || Result.Status >= 500);
  report(Call, Failed, Duration);
  if (Cancelled)
    Plane.queue().releaseUnusedSlot();
  else
    Plane.queue().releaseSlot(Duration, Complete && isRefusal(Result.Status));
}

awaitable<bool> relay_session::runOnWorker(const call &Call,
                                           upstream_stream Upstream,
                                           request_parser &Request,
                                           request_body &Body,
                                           call_cancellation &Cancellation) {
  instant Started = currentTime();
  worker_binding Worker = Plane.worker();
  Request.get().set(toBeast(TimeoutField),
                    std::to_string(std::chrono::duration_cast<milliseconds>(
                                       Cancellation.deadline() - Started)
                                       .count()));
  http_exchange::hooks Hooks;
  Hooks.KeepAlive = [&] { return Call.KeepAlive; };
  Hooks.Accept = [](unsigned, const http::fields &) { return true; };
  Hooks.Adapt = [&](http::fields &Fields) {
    removeHopByHopFields(Fields);
    Fields.set(toBeast(RequestIdField), Call.Id);
    Fields.set(toBeast(VersionField), Worker.Version.str());
    Fields.set(toBeast(FreeSlotsField),
               std::to_string(acceptsCalls() ? Plane.queue().freeSlots() + 1
                                             : NotAcceptingSlots));
  };
  http_exchange Exchange(Stream, Request, Body, Cancellation);
  exchange_result Result = co_await Exchange.run(*Upstream, Hooks);
  finishCall(Call, Result, Cancellation.cancelReason(),
             currentTime() - Started);
  if (Result.UpstreamReusable)
    Plane.pool().release(Worker.Worker, std::move(Upstream), currentTime());
  if (Result.End == exchange_end::passed_on)
    co_return Result.DownstreamReusable;
  if (Result.AnswerStarted) {
    resetConnection(Stream);
    co_return false;
  }
  if (Cancellation.cancelReason() == cancel_reason::caller_gone ||
      Result.End == exchange_end::caller_gone)
    co_return false;
  co_return co_await refuse(Call, Body, call_result::unknown,
                            "no whole answer came from the backend server");
}

} // namespace chivebeam
