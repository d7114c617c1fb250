#include "data/entry_session.h"

#include <charconv>

#include "data/call_claim.h"
#include "data/request_checks.h"
#include "data/session_tools.h"
#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr std::size_t MaxAttempts = 3;
/// The home node's deadline is earlier than this node's by a tenth of the time
/// left, within these bounds, so that its answer arrives in time.
constexpr milliseconds MinHopMargin{2};
constexpr milliseconds MaxHopMargin{50};
constexpr int HopMarginDivisor = 10;
constexpr seconds MaxPoolIdle{9};
constexpr std::int64_t MaxMillis = 600'000;
constexpr int MaxReportedSlots = 100'000;

std::string_view pathOf(beast::string_view Target) {
  std::string_view Text(Target.data(), Target.size());
  return Text.substr(0, Text.find('?'));
}

milliseconds hopMargin(microseconds TimeLeft) {
  auto Tenth =
      std::chrono::duration_cast<milliseconds>(TimeLeft / HopMarginDivisor);
  return std::clamp(Tenth, MinHopMargin, MaxHopMargin);
}

std::int64_t timeoutForHomeNode(microseconds TimeLeft) {
  return std::chrono::duration_cast<milliseconds>(TimeLeft -
                                                  hopMargin(TimeLeft))
      .count();
}

bool isServerError(unsigned Status) {
  return Status >= static_cast<unsigned>(http::status::internal_server_error);
}

/// True for 502 to 504, by which a backend server reports its own state and not
/// an error of the call.
bool isTransientError(unsigned Status) {
  return Status >= static_cast<unsigned>(http::status::bad_gateway) &&
         Status <= static_cast<unsigned>(http::status::gateway_timeout);
}

problem noMatchingRoute() {
  return {http::status::not_found, call_result::not_run, "no route matches",
          "correct the path or add a route", seconds(0)};
}
problem noServerAvailable() {
  return {http::status::service_unavailable, call_result::not_run,
          "no backend server took the call",
          "send it again after the time in Retry-After", seconds(1)};
}
problem deadlineExceeded() {
  return {http::status::gateway_timeout, call_result::not_run,
          "the deadline passed before a backend server took the call",
          "send it again with more time", seconds(1)};
}
problem outcomeUnknown() {
  return {http::status::gateway_timeout, call_result::unknown,
          "the call may have run, but no whole answer came",
          "find out whether it ran before sending it again", seconds(0)};
}

} // namespace

entry_session::entry_session(data_plane &DataPlane, tcp::socket Socket)
    : Plane(DataPlane), Stream(std::move(Socket)),
      CallerWatcher(Stream.socket()) {}

awaitable<void> entry_session::run() {
  for (bool Open = true; Open;) {
    request_parser Request;
    Request.header_limit(
        static_cast<std::uint32_t>(Plane.settings().Limits.MaxHeaderBytes));
    Request.body_limit(Plane.settings().Limits.MaxBodyBytes);
    Stream.expires_after(Plane.settings().Limits.IdleTimeout);
    error_code Code;
    PendingHeader = &Request;
    co_await http::async_read_header(Stream, Buffer, Request, orError(Code));
    PendingHeader = nullptr;
    Stream.expires_never();
    if (std::optional<problem> Problem = problemOf(Code, call_result::not_run))
      co_await sendProblem(Stream, *Problem, "", false);
    if (Code)
      break;
    Plane.callStarted();
    Open = co_await serveCall(Request);
    if (!Open)
      co_await closeGracefully(Stream);
    Plane.callEnded();
  }
  if (Stream.socket().is_open())
    co_await closeGracefully(Stream);
}

void entry_session::closeIfIdle() {
  if (PendingHeader && !PendingHeader->got_some() && Buffer.size() == 0)
    Stream.cancel();
}

void entry_session::closeIfReading() {
  if (PendingHeader)
    Stream.cancel();
}

awaitable<bool> entry_session::refuse(const problem &Problem, const call &Call,
                                      const request_parser &Request) {
  bool KeepAlive = Call.KeepAlive && Request.is_done() && !Plane.draining();
  co_return co_await sendProblem(Stream, Problem, Call.Id.str(), KeepAlive);
}

awaitable<bool> entry_session::serveCall(request_parser &Request) {
  call Call;
  Call.View = Plane.view();
  Call.KeepAlive = Request.get().keep_alive();
  Call.Version = Request.get().version();
  std::optional<problem> Problem = checkRequest(Request.get());
  std::string Id = fieldOf(Request.get(), RequestIdField);
  Call.Id = Problem || Id.empty() ? Plane.generateRequestId() : request_id(Id);
  if (Problem)
    co_return co_await refuse(*Problem, Call, Request);
  auto Method = Request.get().method_string();
  auto Host = Request.get()[http::field::host];
  Call.Route = Call.View->Config->match({Host.data(), Host.size()},
                                        pathOf(Request.get().target()),
                                        {Method.data(), Method.size()});
  if (!Call.Route)
    Problem = noMatchingRoute();
  if (Problem)
    co_return co_await refuse(*Problem, Call, Request);
  co_return co_await runCall(Call, Request);
}

awaitable<bool> entry_session::runCall(call &Call, request_parser &Request) {
  std::optional<problem> Problem;
  milliseconds CallerTimeout(*parseNumber(fieldOf(Request.get(), TimeoutField),
                                          Call.Route->Deadline.count(),
                                          MaxMillis));
  Call.StickyKey = fieldOf(Request.get(), StickyKeyField);
  Call.OutermostHop = fieldOf(Request.get(), DepthField).empty();
  instant Now = currentTime();
  call_cancellation Cancellation(
      Stream.get_executor(), CallerWatcher,
      Now + std::min(CallerTimeout, Call.Route->Deadline), Now);
  request_body Body(Stream, Buffer, Request);
  if (error_code Code = co_await Body.readBuffered(Cancellation)) {
    Problem = problemOf(Code, call_result::not_run);
    if (Cancellation.cancelReason() == cancel_reason::deadline)
      Problem = deadlineExceeded();
    if (Problem)
      co_await refuse(*Problem, Call, Request);
    co_return false;
  }
  co_return co_await claimAndForward(Call, Request, Body, Cancellation);
}

awaitable<bool>
entry_session::claimAndForward(call &Call, request_parser &Request,
                               request_body &Body,
                               call_cancellation &Cancellation) {
  call_claim Claim(Plane);
  std::optional<problem> Problem = co_await Claim.acquire(
      *Call.View, *Call.Route, Request, Body, Cancellation.deadline());
  if (Problem)
    co_return co_await refuse(*Problem, Call, Request);
  prepareRequest(Call, Request.get());
  bool KeepOpen = co_await forward(Call, Request, Body, Cancellation);
  Claim.finish(Call.Result, Call.Status);
  co_return KeepOpen;
}

void entry_session::prepareRequest(const call &Call,
                                   http::fields &Fields) const {
  std::int64_t Depth = *parseNumber(fieldOf(Fields, DepthField), 0, MaxMillis);
  removeHopByHopFields(Fields);
  Fields.set(toBeast(RequestIdField), Call.Id.str());
  Fields.set(toBeast(DepthField), std::to_string(Depth + 1));
  Fields.set(toBeast(RouteField), Call.Route->Name.str());
  const service_entry *Service =
      Call.View->Config->findService(Call.Route->Service);
  Fields.set(toBeast(ClassField), toBeast(toString(Service->Class)));
}

entry_session::target entry_session::choose(const call &Call) {
  const service_name &Service = Call.Route->Service;
  auto Groups = Call.View->Endpoints.find(Service);
  auto Split = Call.View->Splits.find(Service);
  if (Groups == Call.View->Endpoints.end() || Split == Call.View->Splits.end())
    return {};
  const version_name &PreferredVersion =
      Plane.splitter().choose(Service, Split->second, Call.StickyKey);
  for (const version_name *Version : {&PreferredVersion, &Split->second.Old}) {
    auto Group = Groups->second.find(*Version);
    if (Group == Groups->second.end())
      continue;
    if (const endpoint *Endpoint = Plane.picker().pick(
            Service, Group->second, Call.Tried, currentTime()))
      return {Endpoint, *Version != Split->second.Old};
  }
  return {};
}

bool entry_session::hasUntriedNodes(const call &Call) {
  auto Groups = Call.View->Endpoints.find(Call.Route->Service);
  if (Groups == Call.View->Endpoints.end())
    return false;
  std::size_t NodeCount = 0;
  for (const auto &[Version, Group] : Groups->second)
    NodeCount += Group.Local.size() + Group.Remote.size();
  return NodeCount > Call.Tried.size();
}

bool entry_session::mayRetry(const call &Call, const request_body &Body,
                             attempt_end Last) const {
  bool CanSend = !Body.isStreamed() || Body.isUnread();
  if (!CanSend || Call.Tried.size() >= MaxAttempts)
    return false;
  if (Last == attempt_end::not_run)
    return true;
  return Call.Route->Idempotent && Call.OutermostHop && !Body.isStreamed() &&
         Call.Route->RetryBudgetPercent > 0 && hasUntriedNodes(Call);
}

awaitable<bool> entry_session::forward(call &Call, request_parser &Request,
                                       request_body &Body,
                                       call_cancellation &Cancellation) {
  Request.get().version(11);
  attempt_end Last = attempt_end::not_run;
  for (;;) {
    target Target = choose(Call);
    if (!Target.Endpoint || !Cancellation.active())
      break;
    Call.Tried.insert(Target.Endpoint->Node);
    Last = co_await runAttempt(Call, Target, Request, Body, Cancellation);
    if (Last == attempt_end::answered)
      co_return KeepCallerConnection;
    if (Last == attempt_end::closed)
      co_return false;
    if (!Cancellation.active() || !mayRetry(Call, Body, Last) ||
        !Plane.retryBudget(*Call.Route).take())
      break;
  }
  if (Cancellation.cancelReason() == cancel_reason::caller_gone)
    co_return false;
  // GCC 12 destroys temporaries of a conditional operand of co_await twice, so
  // the problem is a named variable.
  problem Problem = noServerAvailable();
  if (Last == attempt_end::unknown)
    Problem = outcomeUnknown();
  else if (!Cancellation.active())
    Problem = deadlineExceeded();
  co_return co_await refuse(Problem, Call, Request);
}

void entry_session::recordObservation(const call &Call, const target &Target,
                                      call_verdict Verdict,
                                      const std::string &FreeSlots,
                                      instant Started) {
  call_observation Observation;
  Observation.Verdict = Verdict;
  Observation.Latency = currentTime() - Started;
  int Slots = 0;
  const char *End = FreeSlots.data() + FreeSlots.size();
  if (std::from_chars(FreeSlots.data(), End, Slots).ec == std::errc())
    Observation.FreeSlots =
        std::clamp(Slots, -MaxReportedSlots, MaxReportedSlots);
  Plane.picker().callEnded(Call.Route->Service, *Target.Endpoint, Observation,
                           currentTime());
  Plane.splitter().callEnded(Call.Route->Service, Target.NewVersion);
  reportMoveOutcome(Call, Target, Verdict);
}

void entry_session::reportMoveOutcome(const call &Call, const target &Target,
                                      call_verdict Verdict) {
  bool Ended =
      Verdict == call_verdict::served || Verdict == call_verdict::failed;
  auto Split = Call.View->Splits.find(Call.Route->Service);
  if (!Ended || Split == Call.View->Splits.end() || Split->second.NewShare == 0)
    return;
  call_outcome Outcome;
  Outcome.Service = Call.Route->Service;
  Outcome.Version = Target.NewVersion ? Split->second.New : Split->second.Old;
  Outcome.Route = Call.Route->Name;
  Outcome.Failed = Verdict == call_verdict::failed;
  Outcome.AtEntry = true;
  Plane.report(std::move(Outcome));
}

awaitable<entry_session::attempt_end>
entry_session::runAttempt(call &Call, const target &Target,
                          request_parser &Request, request_body &Body,
                          call_cancellation &Cancellation) {
  instant Started = currentTime();
  const endpoint &Endpoint = *Target.Endpoint;
  Plane.picker().callStarted(Endpoint, Started);
  Plane.splitter().callStarted(Call.Route->Service, Target.NewVersion);
  microseconds ConnectTime{0};
  upstream_stream Upstream = co_await Plane.pool().acquire(
      Endpoint.Relay, MaxPoolIdle, Cancellation, &ConnectTime);
  if (!Upstream) {
    bool CallerGone = Cancellation.cancelReason() == cancel_reason::caller_gone;
    recordObservation(Call, Target,
                      CallerGone ? call_verdict::cancelled
                                 : call_verdict::unreachable,
                      "", Started);
    co_return CallerGone ? attempt_end::closed : attempt_end::not_run;
  }
  if (ConnectTime.count() > 0)
    Plane.picker().connected(Endpoint.Domain, ConnectTime);
  bool Reusable = false;
  attempt_end End = co_await runExchange(Call, Target, *Upstream, Request, Body,
                                         Cancellation, Reusable);
  if (Reusable)
    Plane.pool().release(Endpoint.Relay, std::move(Upstream), currentTime());
  co_return End;
}

awaitable<entry_session::attempt_end>
entry_session::runExchange(call &Call, const target &Target,
                           beast::tcp_stream &Upstream, request_parser &Request,
                           request_body &Body, call_cancellation &Cancellation,
                           bool &Reusable) {
  instant Started = currentTime();
  std::int64_t Millis = timeoutForHomeNode(Cancellation.deadline() - Started);
  if (Millis <= 0) {
    recordObservation(Call, Target, call_verdict::cancelled, "", Started);
    Reusable = true;
    co_return attempt_end::not_run;
  }
  Request.get().set(toBeast(TimeoutField), std::to_string(Millis));
  http_exchange Exchange(Stream, Request, Body, Cancellation);
  home_answer Home;
  http_exchange::hooks Hooks;
  Hooks.ExpectContinue = true;
  Hooks.DownstreamVersion = Call.Version;
  Hooks.KeepAlive = [&] { return Call.KeepAlive && !Plane.draining(); };
  Hooks.Adapt = [&](http::fields &Fields) {
    removeConnectionFields(Fields);
    Fields.erase(toBeast(FreeSlotsField));
    Fields.set(toBeast(RequestIdField), Call.Id.str());
  };
  Hooks.Accept = [&](unsigned Status, const http::fields &Fields) {
    Home = {fieldOf(Fields, OutcomeField), fieldOf(Fields, FreeSlotsField),
            Status};
    if (Home.Outcome == toString(call_result::not_run))
      return false;
    bool Retryable = Home.Outcome == toString(call_result::unknown) ||
                     (Home.Outcome.empty() && isTransientError(Status));
    return !Retryable || !mayRetry(Call, Body, attempt_end::unknown) ||
           !Plane.retryBudget(*Call.Route).available();
  };
  Call.Result = call_result::unknown;
  exchange_result Result = co_await Exchange.run(Upstream, Hooks);
  Reusable = Result.UpstreamReusable;
  KeepCallerConnection = Result.DownstreamReusable;
  bool NotRun = Result.End == exchange_end::not_admitted ||
                (Result.End == exchange_end::declined &&
                 Home.Outcome == toString(call_result::not_run));
  call_verdict Verdict = call_verdict::failed;
  if (Result.End == exchange_end::caller_gone ||
      Result.End == exchange_end::bad_request)
    Verdict = call_verdict::cancelled;
  else if (NotRun)
    Verdict = call_verdict::refused;
  else if (Result.End == exchange_end::passed_on &&
           !isServerError(Result.Status))
    Verdict = call_verdict::served;
  recordObservation(Call, Target, Verdict, Home.FreeSlots, Started);
  if (NotRun)
    Call.Result = call_result::not_run;
  else if (Home.Status > 0 &&
           (Home.Outcome.empty() || Home.Outcome == toString(call_result::ran)))
    Call.Result = call_result::ran;
  Call.Status = Home.Status;
  if (Verdict == call_verdict::served)
    Plane.retryBudget(*Call.Route).callSucceeded();
  if (Result.End == exchange_end::passed_on)
    co_return attempt_end::answered;
  if (NotRun)
    co_return attempt_end::not_run;
  logFailure(Call, Target, Result);
  if (Result.AnswerStarted) {
    resetConnection(Stream);
    co_return attempt_end::closed;
  }
  if (std::optional<problem> Problem =
          problemOf(Result.BodyError, call_result::unknown)) {
    Call.KeepAlive = false;
    co_await refuse(*Problem, Call, Request);
    co_return attempt_end::closed;
  }
  co_return Result.End == exchange_end::caller_gone ? attempt_end::closed
                                                    : attempt_end::unknown;
}

void entry_session::logFailure(const call &Call, const target &Target,
                               const exchange_result &Result) const {
  log_event("call_failed")
      .add("request", Call.Id)
      .add("route", Call.Route->Name)
      .add("home", Target.Endpoint->Node)
      .add("status", Result.Status)
      .add("end", toString(Result.End));
}

} // namespace chivebeam
