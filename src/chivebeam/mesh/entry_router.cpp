#include "mesh/entry_router.h"

#include <algorithm>

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// Retry time while no backend server is known: a report of one may come soon.
constexpr milliseconds NoServerRetryAfter{300};
/// Retry time while no home node has capacity: slots become free within a few
/// calls.
constexpr milliseconds NoCapacityRetryAfter{100};
/// Refusal ratio downstream above which a server's failure is attributed to
/// overload of the services that it calls.
constexpr unsigned DownstreamOverloadPermille = 100;
constexpr unsigned LowestUrgency = ~0U;
/// A retried call sends its nested calls again, which no retry budget can
/// prevent. So a call is not retried once this part of the retry budgets of
/// downstream services is used.
constexpr unsigned MaxDownstreamRetryBudgetPermille = 300;
/// Retry times are extended at random by up to this percentage, so that callers
/// that were refused together don't return together.
constexpr int RetryAfterJitterPercent = 50;
/// Largest number of home nodes that are asked to run one call. If so many have
/// no capacity, the service is full, and further attempts cost more than they
/// gain.
constexpr unsigned MaxHomeNodesAsked = 6;
/// Before a run time is measured on a route, the route's goal divided by this
/// is assumed, since operators set goals at a few times the usual run time.
constexpr int AssumedDurationDivisor = 3;
/// An attempt is retried only if this percentage of the usual run time is left
/// before the deadline. The threshold is below the mean since half of the calls
/// are faster, as in the queue of home nodes.
constexpr int MinAttemptPercent = 60;
/// Shortest time in which another attempt can complete.
constexpr milliseconds MinAttemptTime{10};
/// Rate and burst of log lines for calls that succeed at the first attempt. All
/// other calls are logged.
constexpr double SuccessLogLinesPerSecond = 5;
constexpr double SuccessLogLinesBurst = 20;
/// Longest run time of a call if neither its caller nor its route sets one.
constexpr milliseconds DefaultCallTimeout{10'000};
/// Bounds the map of timeouts by route, since routes change. The map is cleared
/// when it is full, and the timeouts are learned again.
constexpr std::size_t MaxCallerTimeoutEntries = 4'096;

std::uint64_t seedOf(const node_id &Node) {
  return std::hash<std::string>()(Node.str()) ^
         static_cast<std::uint64_t>(currentTime().time_since_epoch().count());
}

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

call_verdict verdictOf(const mesh_answer &Answer) {
  switch (Answer.Outcome) {
  case attempt_outcome::answered:
    return call_verdict::served;
  case attempt_outcome::not_sent:
    return Answer.Unreachable ? call_verdict::unreachable
                              : call_verdict::refused;
  case attempt_outcome::lost:
    return Answer.Unreachable ? call_verdict::unreachable
                              : call_verdict::failed;
  case attempt_outcome::server_failed:
  case attempt_outcome::server_refused:
    return call_verdict::failed;
  }
  return call_verdict::failed;
}

bool isServerAnswer(const mesh_answer &Answer) {
  return Answer.Outcome == attempt_outcome::answered ||
         Answer.Outcome == attempt_outcome::server_failed;
}

} // namespace

void entry_router::silent_attempts::add(const cancel_signal &Cancel) {
  Cancels.push_back(Cancel);
  ++Open;
}

void entry_router::silent_attempts::ended(const endpoint &Endpoint,
                                          mesh_answer Answer) {
  --Open;
  if (FirstAnswer.isSet() ||
      !(isServerAnswer(Answer) || (AwaitsLast && Open == 0)))
    return;
  AnsweredBy = Endpoint;
  FirstAnswer.set(std::move(Answer));
}

void entry_router::silent_attempts::cancel() {
  for (const cancel_signal &Cancel : Cancels)
    Cancel.raise();
}

entry_router::entry_router(asio::io_context &IoContext,
                           const mesh_settings &MeshSettings,
                           const call_protocol &CallProtocol,
                           mesh_state &MeshState, home_runner &HomeRunner,
                           peer_hub &PeerHub, mesh_metrics &MeshMetrics)
    : Context(IoContext), Settings(MeshSettings), Protocol(CallProtocol),
      State(MeshState), Home(HomeRunner), Hub(PeerHub), Metrics(MeshMetrics),
      Random(seedOf(Settings.Node)), Services(seedOf(Settings.Node)),
      Versions(seedOf(Settings.Node)),
      Picker(Settings.Domain, seedOf(Settings.Node)),
      RetryBudget(Settings.RetryBudget),
      SuccessLogBudget(SuccessLogLinesPerSecond, SuccessLogLinesBurst) {}

void entry_router::viewChanged() {
  RetryBudget.setNodes(static_cast<unsigned>(State.directory().size()));
  if (!State.view())
    return;
  Picker.removeAbsent(*State.view());
  Services.keepOnly(State.view()->Config->routes());
}

std::optional<own_answer>
entry_router::checkRoute(const std::string &Host, const std::string &Target,
                         const std::string &Method) const {
  if (!State.view())
    return own_answer::not_ready;
  if (State.view()->Config->match(Host, pathOf(Target), Method))
    return std::nullopt;
  // The route may be in a configuration that has not arrived yet.
  return ConfigMayBeStale() ? own_answer::not_ready : own_answer::no_route;
}

instant entry_router::firstAttemptTime(const route_rule &Route,
                                       const entry_request &Request) {
  if (!Request.CallerTimeout)
    return Request.ArrivedAt;
  if (LongestCallerTimeout.size() >= MaxCallerTimeoutEntries &&
      !LongestCallerTimeout.contains(Route.Name))
    LongestCallerTimeout.clear();
  milliseconds &MaxTimeout = LongestCallerTimeout[Route.Name];
  MaxTimeout = std::max(MaxTimeout, *Request.CallerTimeout);
  return Request.ArrivedAt - (MaxTimeout - *Request.CallerTimeout);
}

void entry_router::prepare(entry_call &Entry, const route_rule &Route,
                           entry_request Request, instant Now) {
  Entry.AssumedDuration = Route.Goal / AssumedDurationDivisor;
  Entry.ArrivedAt = Request.ArrivedAt;
  mesh_call &Call = Entry.Call;
  Call.Id = Request.Id;
  Call.Route = Route.Name;
  Call.Service = Services.choose(Route);
  Call.Idempotent = Route.Idempotent;
  Call.Urgency = Route.Urgency;
  std::optional<request_id> Parent = Protocol.parentOf(Request.Id);
  Call.Nested = Parent.has_value();
  Call.IsRetry = Parent && Home.isRunningRetry(*Parent);
  milliseconds Longest =
      Route.Deadline.count() > 0 ? Route.Deadline : DefaultCallTimeout;
  Call.Deadline = Request.ArrivedAt +
                  std::min(Longest, Request.CallerTimeout.value_or(Longest));
  Call.Goal = Route.Goal.count() > 0
                  ? firstAttemptTime(Route, Request) + Route.Goal
                  : Call.Deadline;
  Call.Fingerprint =
      fingerprintOf(Request.Method, Request.Host, Request.Target,
                    Request.Body ? std::string_view(*Request.Body) : "");
  Call.Method = std::move(Request.Method);
  Call.Target = std::move(Request.Target);
  Call.Fields = std::move(Request.Fields);
  Protocol.setCaller(Call.Fields, Settings.Service);
  Call.Body = std::move(Request.Body);
  Entry.History.Idempotent = Route.Idempotent;
  Entry.History.MaxServers = std::max(Route.MaxWorkers, 1U);
  auto Split = Entry.View->Splits.find(Call.Service);
  if (Split != Entry.View->Splits.end()) {
    Entry.Version = Versions.choose(Call.Service, Split->second, "");
    Entry.OnNewVersion =
        !Split->second.New.empty() && Entry.Version == Split->second.New;
  }
  if (Call.IsRetry)
    RetryBudget.recordRetry(Call.Service, Now);
  else
    RetryBudget.callStarted(Call.Service, Now);
}

awaitable<entry_result> entry_router::run(entry_request Request,
                                          cancel_signal Cancel) {
  entry_call Entry;
  Entry.View = State.view();
  if (Closed && !Protocol.parentOf(Request.Id))
    co_return entry_result{entry_result::kind::own,
                           {},
                           own_answer::not_run,
                           addJitter(NoServerRetryAfter)};
  if (!Entry.View)
    co_return entry_result{entry_result::kind::own,
                           {},
                           own_answer::not_ready,
                           addJitter(NoServerRetryAfter)};
  const route_rule *Route = Entry.View->Config->match(
      Request.Host, pathOf(Request.Target), Request.Method);
  if (!Route)
    co_return entry_result{
        entry_result::kind::own, {}, own_answer::no_route, {}};
  instant Now = currentTime();
  prepare(Entry, *Route, std::move(Request), Now);
  if (!admit(Entry, Now))
    co_return refuseAtEntry(Entry, "a downstream service is overloaded");
  ++OpenCalls;
  Entry.Silent = std::make_shared<silent_attempts>(Context.get_executor());
  entry_result Result = co_await runAttempts(Entry, Cancel);
  Entry.Silent->cancel();
  --OpenCalls;
  co_return Result;
}

bool entry_router::isQuarantined(entry_call &Entry, instant Now) {
  microseconds Left = State.suspects().refusedFor(Entry.Call.Fingerprint, Now);
  if (Left.count() == 0)
    return false;
  Entry.RetryAfter = Left;
  Metrics.count("calls_quarantined");
  return true;
}

void entry_router::recordServerEnd(const entry_call &Entry,
                                   const endpoint &Endpoint,
                                   const mesh_answer &Answer, instant Now) {
  if (Answer.EndedServer)
    State.suspectsObserved({{Entry.Call.Fingerprint,
                             {Endpoint.Worker, Answer.EndedServer->StartedAtMs},
                             Now}});
}

void entry_router::recordNotice(const endpoint &Endpoint,
                                const mesh_answer &Answer, instant Now) {
  if (Answer.Status > 0)
    Notices.answered({Endpoint.Worker, Endpoint.StartedAtMs},
                     Protocol.noticeIn(Answer.Fields), Now);
}

bool entry_router::retryIsUseful(const entry_call &Entry,
                                 attempt_outcome Outcome, instant Now) const {
  const mesh_call &Call = Entry.Call;
  if (!State.suspects().mayRetry(Call.Fingerprint))
    return false;
  // If a server failed because the services it calls are overloaded, the call
  // would fail on other servers as well.
  const endpoint_group *Group =
      findGroup(*Entry.View, Call.Service, Entry.Version);
  overload_view Observed =
      Group ? Picker.overload(*Group, Now) : overload_view();
  bool DownstreamOverloaded =
      Outcome == attempt_outcome::server_failed &&
      highestRefusalRatio(Observed.Downstream, LowestUrgency) >
          DownstreamOverloadPermille;
  return !DownstreamOverloaded && Observed.DownstreamRetryBudgetPermille <=
                                      MaxDownstreamRetryBudgetPermille;
}

bool entry_router::mayRetry(const entry_call &Entry, attempt_outcome Outcome,
                            instant Now) {
  return retryIsUseful(Entry, Outcome, Now) &&
         RetryBudget.takeRetry(Entry.Call.Service, Now);
}

bool entry_router::mayMoveOn(const entry_call &Entry, instant Now) {
  attempt_history History = Entry.History;
  ++History.ServersReached;
  History.UntriedServerLeft = mayAskAnotherNode(Entry);
  History.TimeLeft = hasTimeForAttempt(Entry, Now);
  auto BudgetLeft = [&] {
    return retryIsUseful(Entry, attempt_outcome::lost, Now) &&
           RetryBudget.hasRetryLeft(Entry.Call.Service, Now);
  };
  return decideNext(attempt_outcome::lost, History, BudgetLeft) ==
         next_step::retry;
}

bool entry_router::hasTimeForAttempt(const entry_call &Entry,
                                     instant Now) const {
  microseconds MinRemaining =
      usualTime(Entry, endpoint(), Now) * MinAttemptPercent / 100;
  return Now + std::max<microseconds>(MinRemaining, MinAttemptTime) <
         Entry.Call.Deadline;
}

bool entry_router::admit(const entry_call &Entry, instant Now) {
  const mesh_call &Call = Entry.Call;
  if (Call.Nested) {
    CalledServices.recordNestedCall(Call.Service, Now);
    return true;
  }
  const endpoint_group *Group =
      findGroup(*Entry.View, Call.Service, Entry.Version);
  return !Group ||
         Roots.admit(Call.Route, Call.Urgency, Picker.overload(*Group, Now));
}

refusal_ratios entry_router::downstreamRefusals(instant Now) const {
  refusal_ratios Worst;
  if (!State.view())
    return Worst;
  for (const service_name &Service : CalledServices.current(Now)) {
    auto Versions = State.view()->Endpoints.find(Service);
    if (Versions == State.view()->Endpoints.end())
      continue;
    for (const auto &[Version, Group] : Versions->second)
      for (const refusal_ratio &Ratio : Picker.overload(Group, Now).Own)
        if (Ratio.Permille > refusalRatioAt(Worst, Ratio.Urgency)) {
          std::erase_if(Worst, [&](const refusal_ratio &Known) {
            return Known.Urgency == Ratio.Urgency;
          });
          Worst.push_back(Ratio);
        }
  }
  return Worst;
}

unsigned entry_router::downstreamRetryBudgetUsage(instant Now) {
  double Most = 0;
  for (const service_name &Service : CalledServices.current(Now))
    Most = std::max(Most, RetryBudget.usedFraction(Service, Now));
  return static_cast<unsigned>(std::min(Most, 1.0) * 1'000);
}

entry_result entry_router::refuseAtEntry(entry_call &Entry,
                                         std::string Reason) {
  const mesh_call &Call = Entry.Call;
  if (!Call.Nested && Entry.Attempts == 0)
    ++RefusedAtEntry[{Call.Service, Call.Urgency}];
  instant Now = currentTime();
  const endpoint_group *Group =
      findGroup(*Entry.View, Call.Service, Entry.Version);
  if (Group && Entry.RetryAfter.count() == 0)
    Entry.RetryAfter = Picker.retryAfterOf(*Group, needsOf(Entry, Now), Now);
  if (Entry.RetryAfter.count() == 0)
    Entry.RetryAfter = NoCapacityRetryAfter;
  return endAtEntry(Entry, std::move(Reason));
}

entry_result entry_router::endAtEntry(entry_call &Entry, std::string Reason) {
  mesh_answer Refusal =
      emptyAnswer(attempt_outcome::not_sent, std::move(Reason));
  next_step Step = lastStep(Refusal.Outcome, Entry.History);
  log(Entry, endpoint(), Refusal, Step, microseconds(0));
  return finish(Entry, Step, std::move(Refusal));
}

const endpoint *entry_router::choose(entry_call &Entry, instant Now) {
  const service_name &Service = Entry.Call.Service;
  const endpoint_group *Group = findGroup(*Entry.View, Service, Entry.Version);
  if (!Group)
    return nullptr;
  return Picker.pickFor(*Group, Entry.Tried, needsOf(Entry, Now), Now);
}

call_needs entry_router::needsOf(const entry_call &Entry, instant Now) {
  const mesh_call &Call = Entry.Call;
  return {Call.Route,          Call.Goal - Now,
          Call.Deadline - Now, Call.Body ? Call.Body->size() : 0,
          Call.Nested,         Call.Urgency};
}

bool entry_router::mayAskAnotherNode(const entry_call &Entry) const {
  if (Entry.HomeNodesAsked >= MaxHomeNodesAsked)
    return false;
  const endpoint_group *Group =
      findGroup(*Entry.View, Entry.Call.Service, Entry.Version);
  if (!Group)
    return false;
  auto IsUntried = [&](const endpoint &Endpoint) {
    return !Entry.Tried.contains(Endpoint.Node);
  };
  return std::any_of(Group->Local.begin(), Group->Local.end(), IsUntried) ||
         std::any_of(Group->Remote.begin(), Group->Remote.end(), IsUntried);
}

awaitable<entry_result> entry_router::runAttempts(entry_call &Entry,
                                                  cancel_signal Cancel) {
  for (;;) {
    instant Started = currentTime();
    if (isQuarantined(Entry, Started))
      co_return endAtEntry(Entry, "the call crashes backend servers");
    const endpoint *Chosen = choose(Entry, Started);
    if (!Chosen) {
      std::optional<entry_result> Late =
          co_await waitForSilentNodes(Entry, Cancel);
      if (Late)
        co_return std::move(*Late);
      co_return refuseAtEntry(Entry,
                              "no backend server is known or has capacity");
    }
    endpoint Endpoint = *Chosen;
    Entry.Tried.insert(Endpoint.Node);
    ++Entry.Attempts;
    mesh_answer Answer = co_await runAttempt(Entry, Endpoint, Cancel);
    instant Now = currentTime();
    if (Cancel.raised()) {
      Metrics.count("calls_given_up");
      co_return entry_result{entry_result::kind::caller_gone, {}, {}, {}};
    }
    recordObservation(Entry, Endpoint, Answer, Now - Started, Now);
    recordServerEnd(Entry, Endpoint, Answer, Now);
    recordNotice(Endpoint, Answer, Now);
    recordAttempt(Entry, Answer, Now);
    next_step Step = decideNext(Answer.Outcome, Entry.History, [&] {
      return mayRetry(Entry, Answer.Outcome, Now);
    });
    if (Answer.Outcome == attempt_outcome::lost ||
        Answer.Outcome == attempt_outcome::server_failed)
      Entry.History.MayHaveRun = true;
    if (Answer.RetryAfter.count() > 0)
      Entry.RetryAfter = Entry.RetryAfter.count() == 0
                             ? Answer.RetryAfter
                             : std::min(Entry.RetryAfter, Answer.RetryAfter);
    log(Entry, Endpoint, Answer, Step, Now - Started);
    if (Step == next_step::retry)
      continue;
    if (Step != next_step::deliver) {
      std::optional<entry_result> Late =
          co_await waitForSilentNodes(Entry, Cancel);
      if (Late)
        co_return std::move(*Late);
    }
    co_return finish(Entry, Step, std::move(Answer));
  }
}

awaitable<std::optional<entry_result>>
entry_router::waitForSilentNodes(entry_call &Entry, cancel_signal Cancel) {
  std::shared_ptr<silent_attempts> Silent = Entry.Silent;
  if (Silent->Open == 0 && !Silent->FirstAnswer.isSet())
    co_return std::nullopt;
  instant Started = currentTime();
  Silent->AwaitsLast = true;
  Cancel.onRaise([Silent] {
    Silent->FirstAnswer.set(
        emptyAnswer(attempt_outcome::lost, "the caller is gone"));
  });
  std::optional<mesh_answer> Answer =
      co_await Silent->FirstAnswer.wait(Entry.Call.Deadline - Started);
  Cancel.onRaise(nullptr);
  if (Cancel.raised()) {
    Metrics.count("calls_given_up");
    co_return entry_result{entry_result::kind::caller_gone, {}, {}, {}};
  }
  if (!Answer || !isServerAnswer(*Answer))
    co_return std::nullopt;
  recordNotice(Silent->AnsweredBy, *Answer, currentTime());
  log(Entry, Silent->AnsweredBy, *Answer, next_step::deliver,
      currentTime() - Started);
  co_return finish(Entry, next_step::deliver, std::move(*Answer));
}

void entry_router::recordAttempt(entry_call &Entry, const mesh_answer &Answer,
                                 instant Now) {
  if (reachedServer(Answer.Outcome)) {
    ++Entry.History.ServersReached;
    Entry.Call.IsRetry = true;
  }
  Entry.HomeNodesAsked += Answer.Unreachable ? 0 : 1;
  Entry.View = State.view() ? State.view() : Entry.View;
  Entry.History.UntriedServerLeft = mayAskAnotherNode(Entry);
  Entry.History.TimeLeft = hasTimeForAttempt(Entry, Now);
}

microseconds entry_router::usualTime(const entry_call &Entry,
                                     const endpoint &Endpoint,
                                     instant Now) const {
  microseconds Known = Picker.usualTime(Entry.Call.Route, Endpoint, Now);
  return Known.count() > 0 ? Known : Entry.AssumedDuration;
}

awaitable<mesh_answer> entry_router::runAttempt(entry_call &Entry,
                                                endpoint Endpoint,
                                                cancel_signal Cancel) {
  instant Now = currentTime();
  one_shot<mesh_answer> PendingAnswer(Context.get_executor());
  // Set after PendingAnswer said that the home node is silent.
  one_shot<mesh_answer> LateAnswer(Context.get_executor());
  auto MovedOn = std::make_shared<bool>(false);
  auto Reply = [PendingAnswer, LateAnswer, MovedOn, Silent = Entry.Silent,
                Endpoint](mesh_answer Answer) {
    if (*MovedOn)
      Silent->ended(Endpoint, std::move(Answer));
    else
      (PendingAnswer.isSet() ? LateAnswer : PendingAnswer)
          .set(std::move(Answer));
  };
  cancel_signal Attempt;
  Cancel.onRaise([Attempt, Reply] {
    Attempt.raise();
    Reply(emptyAnswer(attempt_outcome::lost, "the caller is gone"));
  });
  mesh_call Call = Entry.Call;
  Call.Worker = Endpoint.Worker;
  Call.UsualDuration = usualTime(Entry, Endpoint, Now);
  Call.KnownRateLimit =
      Notices.rateLimit({Endpoint.Worker, Endpoint.StartedAtMs});
  if (!Call.Nested)
    Call.RefusedAtEntry =
        std::exchange(RefusedAtEntry[{Call.Service, Call.Urgency}], 0);
  Picker.callStarted(Endpoint, Now);
  Versions.callStarted(Call.Service, Entry.OnNewVersion);
  if (Endpoint.Node == Settings.Node)
    Home.run(std::move(Call), Attempt, Reply);
  else
    Hub.call(Endpoint.Node, std::move(Call), Attempt, Reply);
  std::optional<mesh_answer> Answer =
      co_await PendingAnswer.wait(Entry.Call.Deadline - Now);
  instant AnsweredAt = currentTime();
  bool IsSilent = Answer && Answer->Silent && !LateAnswer.isSet();
  if (IsSilent && mayMoveOn(Entry, AnsweredAt)) {
    // The home node may still run the call, so the attempt goes on until there
    // is another answer.
    *MovedOn = true;
    Entry.Silent->add(Attempt);
  } else if (Answer && Answer->Silent) {
    Answer = co_await LateAnswer.wait(Entry.Call.Deadline - AnsweredAt);
  }
  Cancel.onRaise(nullptr);
  Versions.callEnded(Entry.Call.Service, Entry.OnNewVersion);
  if (!Answer)
    Attempt.raise();
  if (Answer)
    co_return std::move(*Answer);
  co_return emptyAnswer(attempt_outcome::lost,
                        "the deadline of the call has passed");
}

void entry_router::recordObservation(const entry_call &Entry,
                                     const endpoint &Endpoint,
                                     const mesh_answer &Answer,
                                     microseconds Took, instant Now) {
  call_observation Observed;
  Observed.Verdict = verdictOf(Answer);
  Observed.Latency = Took;
  bool HasLoad =
      !Answer.Unreachable && (Answer.Load.Limit > 0 || Answer.Status > 0 ||
                              Answer.RetryAfter.count() > 0);
  if (HasLoad)
    Observed.Load = Answer.Load;
  bool IsFull = Answer.Outcome == attempt_outcome::not_sent &&
                !Answer.Unreachable && Answer.Load.Limit > 0;
  if (IsFull)
    Observed.RetryAfter = Answer.RetryAfter;
  Observed.Urgency = Entry.Call.Urgency;
  Observed.LargeBody =
      Entry.Call.Body && Entry.Call.Body->size() > LargeBodyBytes;
  if (Answer.Outcome == attempt_outcome::answered && Answer.RunTime.count() > 0)
    Picker.recordDuration(Entry.Call.Route, Endpoint, Answer.RunTime);
  Picker.callEnded(Entry.Call.Service, Endpoint, Observed, Now);
}

microseconds entry_router::addJitter(microseconds RetryAfter) {
  auto Extra =
      static_cast<std::uint64_t>(RetryAfter.count()) * RetryAfterJitterPercent;
  return RetryAfter + microseconds(Random.below(Extra / 100 + 1));
}

entry_result entry_router::finish(entry_call &Entry, next_step Step,
                                  mesh_answer Answer) {
  entry_result Result;
  Result.RetryAfter = addJitter(Entry.RetryAfter);
  switch (Step) {
  case next_step::deliver:
    Result.Kind = entry_result::kind::served;
    Result.Answer = std::move(Answer);
    break;
  case next_step::refuse:
    Result.Own = own_answer::not_run;
    break;
  case next_step::time_out:
    Result.Own = own_answer::out_of_time;
    break;
  case next_step::fail:
  case next_step::retry:
    Result.Own = own_answer::may_have_run;
    break;
  }
  Metrics.recordCall(Entry.Call.Route, toString(Step),
                     currentTime() - Entry.ArrivedAt);
  return Result;
}

void entry_router::log(const entry_call &Entry, const endpoint &Endpoint,
                       const mesh_answer &Answer, next_step Step,
                       microseconds Took) {
  bool IsSuccessAtOnce = Step == next_step::deliver && Entry.Attempts == 1 &&
                         Answer.Outcome == attempt_outcome::answered;
  instant Now = currentTime();
  if (IsSuccessAtOnce && !SuccessLogBudget.take(Now)) {
    ++OmittedLines;
    return;
  }
  const home_load *Load = Picker.recentLoad(Endpoint, Now);
  log_event Line("call");
  Line.add("request", Entry.Call.Id)
      .add("route", Entry.Call.Route)
      .add("service", Entry.Call.Service)
      .add("version", Entry.Version)
      .add("config", Entry.View->Config->number())
      .add("home", Endpoint.Node)
      .add("worker", Endpoint.Worker)
      .add("attempt", Entry.Attempts)
      .add("outcome", toString(Answer.Outcome))
      .add("status", Answer.Status)
      .add("took_us", Took.count())
      .add("left_us", (Entry.Call.Deadline - Now).count())
      .add("next", toString(Step));
  if (Load)
    Line.add("running", Load->Running)
        .add("waiting", Load->Waiting)
        .add("limit", Load->Limit);
  if (Answer.Outcome != attempt_outcome::answered)
    Line.add("fingerprint", toHex(Entry.Call.Fingerprint));
  if (!Answer.Reason.empty())
    Line.add("reason", Answer.Reason);
  if (std::uint64_t Omitted = std::exchange(OmittedLines, 0))
    Line.add("omitted_lines", Omitted);
}

} // namespace chivebeam
