#include "mesh/entry_router.h"

#include <algorithm>

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// When no backend server is known, the next report of one may change that.
constexpr milliseconds NobodyWait{300};
/// When no home node has room, slots free up within a few calls.
constexpr milliseconds NoRoomWait{100};
/// Refused share downstream from which on a server's failure counts as caused
/// by it.
constexpr unsigned StarvedPermille = 100;
constexpr unsigned LowestUrgency = ~0U;
/// A call that is run again makes its own calls again, which no budget can hold
/// back any more: it isn't, once this part of their budgets is used.
constexpr unsigned MaxRepeatsBelowPermille = 300;
/// Wait times are spread by so much of themselves, in percent, so that callers
/// who were refused together don't return together.
constexpr int WaitSpreadPercent = 50;
/// Home nodes that a call asks while it is run nowhere: after so many that had
/// no room, the service is full, and asking on would cost more than it brings.
constexpr unsigned MaxAsks = 6;
/// Before any call of a route was seen to run, one is taken to need this part
/// of the route's goal: operators set goals at a few times the usual.
constexpr int UsualPartsOfGoal = 3;
/// Another attempt is made if this part of its usual time is left, in percent:
/// as at home nodes, half of the calls are faster than the mean.
constexpr int LeastAttemptPercent = 60;
/// Least time in which another attempt can end.
constexpr milliseconds MinAttemptTime{10};
/// Log lines a second, and at once, for calls that were served at the first
/// attempt; the others are always logged.
constexpr double PlainLinesPerSecond = 5;
constexpr double PlainLinesBurst = 20;
/// Without a word of the caller and the route, a call may take so long.
constexpr milliseconds DefaultPatience{10'000};
/// Routes come and go; beyond so many, patience is learned anew.
constexpr std::size_t MaxPatienceEntries = 4'096;

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

} // namespace

entry_router::entry_router(asio::io_context &IoContext,
                           const mesh_settings &MeshSettings,
                           const call_dialect &CallDialect,
                           mesh_state &MeshState, home_runner &HomeRunner,
                           peer_hub &PeerHub, mesh_metrics &MeshMetrics)
    : Context(IoContext), Settings(MeshSettings), Dialect(CallDialect),
      State(MeshState), Home(HomeRunner), Hub(PeerHub), Metrics(MeshMetrics),
      Random(seedOf(Settings.Node)), Services(seedOf(Settings.Node)),
      Versions(seedOf(Settings.Node)),
      Picker(Settings.Domain, seedOf(Settings.Node)), Repeats(Settings.Repeats),
      PlainLines(PlainLinesPerSecond, PlainLinesBurst) {}

void entry_router::viewChanged() {
  Repeats.setNodes(static_cast<unsigned>(State.directory().size()));
  if (!State.view())
    return;
  Picker.forgetAbsent(*State.view());
  Services.keepOnly(State.view()->Config->routes());
}

std::optional<own_answer>
entry_router::checkRoute(const std::string &Host, const std::string &Target,
                         const std::string &Method) const {
  if (!State.view())
    return own_answer::not_ready;
  if (State.view()->Config->match(Host, pathOf(Target), Method))
    return std::nullopt;
  // The route may be in a configuration that is still on its way.
  return MayBeBehind() ? own_answer::not_ready : own_answer::no_route;
}

instant entry_router::firstAttempt(const route_rule &Route,
                                   const entry_request &Request) {
  if (!Request.Patience)
    return Request.ArrivedAt;
  if (FullPatience.size() >= MaxPatienceEntries &&
      !FullPatience.contains(Route.Name))
    FullPatience.clear();
  milliseconds &Full = FullPatience[Route.Name];
  Full = std::max(Full, *Request.Patience);
  return Request.ArrivedAt - (Full - *Request.Patience);
}

void entry_router::prepare(entry_call &Entry, const route_rule &Route,
                           entry_request Request, instant Now) {
  Entry.Assumed = Route.Goal / UsualPartsOfGoal;
  Entry.ArrivedAt = Request.ArrivedAt;
  mesh_call &Call = Entry.Call;
  Call.Id = Request.Id;
  Call.Route = Route.Name;
  Call.Service = Services.choose(Route);
  Call.Idempotent = Route.Idempotent;
  Call.Urgency = Route.Urgency;
  std::optional<request_id> Parent = Dialect.parentOf(Request.Id);
  Call.Nested = Parent.has_value();
  Call.Repeat = Parent && Home.runsRepeat(*Parent);
  milliseconds Longest =
      Route.Deadline.count() > 0 ? Route.Deadline : DefaultPatience;
  Call.Deadline =
      Request.ArrivedAt + std::min(Longest, Request.Patience.value_or(Longest));
  Call.Goal = Route.Goal.count() > 0 ? firstAttempt(Route, Request) + Route.Goal
                                     : Call.Deadline;
  Call.Method = std::move(Request.Method);
  Call.Target = std::move(Request.Target);
  Call.Fields = std::move(Request.Fields);
  Dialect.setCaller(Call.Fields, Settings.Service);
  Call.Body = std::move(Request.Body);
  Entry.History.Idempotent = Route.Idempotent;
  Entry.History.MaxServers = std::max(Route.MaxWorkers, 1U);
  auto Split = Entry.View->Splits.find(Call.Service);
  if (Split != Entry.View->Splits.end()) {
    Entry.Version = Versions.choose(Call.Service, Split->second, "");
    Entry.OnNewVersion =
        !Split->second.New.empty() && Entry.Version == Split->second.New;
  }
  if (Call.Repeat)
    Repeats.recordRetry(Call.Service, Now);
  else
    Repeats.callStarted(Call.Service, Now);
}

awaitable<entry_result> entry_router::run(entry_request Request,
                                          cancel_signal Cancel) {
  entry_call Entry;
  Entry.View = State.view();
  if (Closed && !Dialect.parentOf(Request.Id))
    co_return entry_result{
        entry_result::kind::own, {}, own_answer::not_run, spread(NobodyWait)};
  if (!Entry.View)
    co_return entry_result{
        entry_result::kind::own, {}, own_answer::not_ready, spread(NobodyWait)};
  const route_rule *Route = Entry.View->Config->match(
      Request.Host, pathOf(Request.Target), Request.Method);
  if (!Route)
    co_return entry_result{
        entry_result::kind::own, {}, own_answer::no_route, {}};
  instant Now = currentTime();
  prepare(Entry, *Route, std::move(Request), Now);
  if (!admit(Entry, Now))
    co_return refuseUnasked(Entry, "a service further down is overloaded");
  ++OpenCalls;
  entry_result Result = co_await attempts(Entry, Cancel);
  --OpenCalls;
  co_return Result;
}

bool entry_router::mayRepeat(const entry_call &Entry, attempt_outcome Outcome,
                             instant Now) {
  const mesh_call &Call = Entry.Call;
  // A server that failed for want of what it calls fails again elsewhere.
  const endpoint_group *Group =
      findGroup(*Entry.View, Call.Service, Entry.Version);
  overload_view Seen = Group ? Picker.overload(*Group, Now) : overload_view();
  bool Starved =
      Outcome == attempt_outcome::server_failed &&
      highestRefusalRatio(Seen.Downstream, LowestUrgency) > StarvedPermille;
  return !Starved &&
         Seen.DownstreamRetryBudgetPermille <= MaxRepeatsBelowPermille &&
         Repeats.takeRetry(Call.Service, Now);
}

bool entry_router::admit(const entry_call &Entry, instant Now) {
  const mesh_call &Call = Entry.Call;
  if (Call.Nested) {
    Children.recordNestedCall(Call.Service, Now);
    return true;
  }
  const endpoint_group *Group =
      findGroup(*Entry.View, Call.Service, Entry.Version);
  return !Group ||
         Roots.admit(Call.Route, Call.Urgency, Picker.overload(*Group, Now));
}

refusal_ratios entry_router::downstream(instant Now) const {
  refusal_ratios Worst;
  if (!State.view())
    return Worst;
  for (const service_name &Service : Children.current(Now)) {
    auto Versions = State.view()->Endpoints.find(Service);
    if (Versions == State.view()->Endpoints.end())
      continue;
    for (const auto &[Version, Group] : Versions->second)
      for (const refusal_ratio &Share : Picker.overload(Group, Now).Own)
        if (Share.Permille > refusalRatioAt(Worst, Share.Urgency)) {
          std::erase_if(Worst, [&](const refusal_ratio &Known) {
            return Known.Urgency == Share.Urgency;
          });
          Worst.push_back(Share);
        }
  }
  return Worst;
}

unsigned entry_router::repeatsBelow(instant Now) {
  double Most = 0;
  for (const service_name &Service : Children.current(Now))
    Most = std::max(Most, Repeats.usedFraction(Service, Now));
  return static_cast<unsigned>(std::min(Most, 1.0) * 1'000);
}

entry_result entry_router::refuseUnasked(entry_call &Entry,
                                         std::string Reason) {
  const mesh_call &Call = Entry.Call;
  if (!Call.Nested && Entry.Attempts == 0)
    ++Unasked[{Call.Service, Call.Urgency}];
  instant Now = currentTime();
  const endpoint_group *Group =
      findGroup(*Entry.View, Call.Service, Entry.Version);
  if (Group && Entry.Wait.count() == 0)
    Entry.Wait = Picker.retryAfterOf(*Group, needsOf(Entry, Now), Now);
  if (Entry.Wait.count() == 0)
    Entry.Wait = NoRoomWait;
  mesh_answer Nobody = noAnswer(attempt_outcome::not_sent, std::move(Reason));
  next_step Step = lastStep(Nobody.Outcome, Entry.History);
  log(Entry, endpoint(), Nobody, Step, microseconds(0));
  return finish(Entry, Step, std::move(Nobody));
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

bool entry_router::hasOthers(const entry_call &Entry) const {
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

awaitable<entry_result> entry_router::attempts(entry_call &Entry,
                                               cancel_signal Cancel) {
  for (;;) {
    instant Started = currentTime();
    const endpoint *Chosen = choose(Entry, Started);
    if (!Chosen)
      co_return refuseUnasked(Entry, "no backend server has room, or is known");
    endpoint Endpoint = *Chosen;
    Entry.Tried.insert(Endpoint.Node);
    ++Entry.Attempts;
    mesh_answer Answer = co_await attempt(Entry, Endpoint, Cancel);
    instant Now = currentTime();
    if (Cancel.raised()) {
      Metrics.count("calls_given_up");
      co_return entry_result{entry_result::kind::caller_gone, {}, {}, {}};
    }
    observe(Entry, Endpoint, Answer, Now - Started, Now);
    noteAttempt(Entry, Answer, Now);
    next_step Step = decideNext(Answer.Outcome, Entry.History, [&] {
      return mayRepeat(Entry, Answer.Outcome, Now);
    });
    if (Answer.Outcome == attempt_outcome::lost ||
        Answer.Outcome == attempt_outcome::server_failed)
      Entry.History.MayHaveRun = true;
    if (Answer.Wait.count() > 0)
      Entry.Wait = Entry.Wait.count() == 0 ? Answer.Wait
                                           : std::min(Entry.Wait, Answer.Wait);
    log(Entry, Endpoint, Answer, Step, Now - Started);
    if (Step != next_step::retry)
      co_return finish(Entry, Step, std::move(Answer));
  }
}

void entry_router::noteAttempt(entry_call &Entry, const mesh_answer &Answer,
                               instant Now) {
  if (reachedServer(Answer.Outcome)) {
    ++Entry.History.ServersReached;
    Entry.Call.Repeat = true;
  }
  Entry.Asks += Answer.Unreachable ? 0 : 1;
  Entry.View = State.view() ? State.view() : Entry.View;
  Entry.History.UntriedServerLeft = hasOthers(Entry) && Entry.Asks < MaxAsks;
  microseconds Least =
      usualTime(Entry, endpoint(), Now) * LeastAttemptPercent / 100;
  Entry.History.TimeLeft =
      Now + std::max<microseconds>(Least, MinAttemptTime) < Entry.Call.Deadline;
}

microseconds entry_router::usualTime(const entry_call &Entry,
                                     const endpoint &Endpoint,
                                     instant Now) const {
  microseconds Known = Picker.usualTime(Entry.Call.Route, Endpoint, Now);
  return Known.count() > 0 ? Known : Entry.Assumed;
}

awaitable<mesh_answer> entry_router::attempt(entry_call &Entry,
                                             endpoint Endpoint,
                                             cancel_signal Cancel) {
  instant Now = currentTime();
  one_shot<mesh_answer> Slot(Context.get_executor());
  cancel_signal Attempt;
  Cancel.onRaise([Attempt, Slot] {
    Attempt.raise();
    Slot.set(noAnswer(attempt_outcome::lost, "the caller is gone"));
  });
  mesh_call Call = Entry.Call;
  Call.Worker = Endpoint.Worker;
  Call.Usual = usualTime(Entry, Endpoint, Now);
  if (!Call.Nested)
    Call.Unasked = std::exchange(Unasked[{Call.Service, Call.Urgency}], 0);
  auto Reply = [Slot](mesh_answer Answer) { Slot.set(std::move(Answer)); };
  Picker.callStarted(Endpoint, Now);
  Versions.callStarted(Call.Service, Entry.OnNewVersion);
  if (Endpoint.Node == Settings.Node)
    Home.run(std::move(Call), Attempt, Reply);
  else
    Hub.call(Endpoint.Node, std::move(Call), Attempt, Reply);
  std::optional<mesh_answer> Answer =
      co_await Slot.wait(Entry.Call.Deadline - Now);
  Cancel.onRaise(nullptr);
  Versions.callEnded(Entry.Call.Service, Entry.OnNewVersion);
  if (Answer)
    co_return std::move(*Answer);
  Attempt.raise();
  co_return noAnswer(attempt_outcome::lost, "its time is up");
}

void entry_router::observe(const entry_call &Entry, const endpoint &Endpoint,
                           const mesh_answer &Answer, microseconds Took,
                           instant Now) {
  call_observation Seen;
  Seen.Verdict = verdictOf(Answer);
  Seen.Latency = Took;
  bool Told =
      !Answer.Unreachable &&
      (Answer.Load.Limit > 0 || Answer.Status > 0 || Answer.Wait.count() > 0);
  if (Told)
    Seen.Load = Answer.Load;
  bool IsFull = Answer.Outcome == attempt_outcome::not_sent &&
                !Answer.Unreachable && Answer.Load.Limit > 0;
  if (IsFull)
    Seen.RetryAfter = Answer.Wait;
  Seen.Urgency = Entry.Call.Urgency;
  Seen.LargeBody = Entry.Call.Body && Entry.Call.Body->size() > LargeBodyBytes;
  if (Answer.Outcome == attempt_outcome::answered && Answer.Ran.count() > 0)
    Picker.recordDuration(Entry.Call.Route, Endpoint, Answer.Ran);
  Picker.callEnded(Entry.Call.Service, Endpoint, Seen, Now);
}

microseconds entry_router::spread(microseconds Wait) {
  auto Extra = static_cast<std::uint64_t>(Wait.count()) * WaitSpreadPercent;
  return Wait + microseconds(Random.below(Extra / 100 + 1));
}

entry_result entry_router::finish(entry_call &Entry, next_step Step,
                                  mesh_answer Answer) {
  entry_result Result;
  Result.Wait = spread(Entry.Wait);
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
  bool Plain = Step == next_step::deliver && Entry.Attempts == 1 &&
               Answer.Outcome == attempt_outcome::answered;
  instant Now = currentTime();
  if (Plain && !PlainLines.take(Now)) {
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
  if (!Answer.Reason.empty())
    Line.add("reason", Answer.Reason);
  if (std::uint64_t Omitted = std::exchange(OmittedLines, 0))
    Line.add("omitted_lines", Omitted);
}

} // namespace chivebeam
