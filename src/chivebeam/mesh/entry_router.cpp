#include "mesh/entry_router.h"

#include <algorithm>

#include "net/clock.h"

namespace chivebeam {

namespace {

/// Retry time while no backend server is known: a report of one may come soon.
constexpr milliseconds NoServerRetryAfter{300};
/// Retry time while no home node has capacity: slots become free within a few
/// calls.
constexpr milliseconds NoCapacityRetryAfter{100};
/// Retry times are extended at random by up to this percentage, so that callers
/// that were refused together don't return together.
constexpr int RetryAfterJitterPercent = 50;
/// A call waits for a slot only after this many home nodes had none free. The
/// answers tell their present load, so that it waits where it is shortest.
constexpr std::size_t MaxBusyHomeNodes = 2;

std::uint64_t seedOf(const node_id &Node) {
  return std::hash<std::string>()(Node.str()) ^
         static_cast<std::uint64_t>(currentTime().time_since_epoch().count());
}

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

} // namespace

entry_router::entry_router(asio::io_context &IoContext,
                           const mesh_settings &MeshSettings,
                           const call_protocol &CallProtocol,
                           mesh_state &MeshState, home_runner &HomeRunner,
                           peer_hub &PeerHub, usage_limiter &UsageLimiter,
                           mesh_metrics &MeshMetrics)
    : Context(IoContext), Settings(MeshSettings), Protocol(CallProtocol),
      State(MeshState), Home(HomeRunner), Hub(PeerHub), Usage(UsageLimiter),
      Metrics(MeshMetrics), Random(seedOf(Settings.Node)),
      Preparer(Settings, Protocol, seedOf(Settings.Node)),
      Picker(Settings.Domain, seedOf(Settings.Node)),
      RetryBudget(Settings.RetryBudget), Hedges(Settings.Hedging),
      Retries(State, Picker, RetryBudget),
      Downstream(State, Picker, RetryBudget) {}

void entry_router::viewChanged() {
  RetryBudget.setNodes(static_cast<unsigned>(State.directory().size()));
  if (!State.view())
    return;
  Picker.removeAbsent(*State.view());
  Preparer.keepOnly(State.view()->Config->routes());
  checkHedgeRoutes();
}

route_check entry_router::checkRoute(const std::string &Host,
                                     const std::string &Target,
                                     const std::string &Method,
                                     const api_key &Key) const {
  if (!State.view())
    return {own_answer::not_ready};
  const snapshot &Config = *State.view()->Config;
  const route_rule *Route = Config.match(Host, pathOf(Target), Method);
  if (Route && checkKey(Config, *Route, Key))
    return {std::nullopt, Route->Idempotent};
  // The route or key may be in a configuration that has not arrived yet.
  if (ConfigMayBeStale())
    return {own_answer::not_ready};
  return {Route ? own_answer::unauthorized : own_answer::no_route};
}

entry_result entry_router::ownResult(own_answer Answer) {
  return {entry_result::kind::own, {}, Answer, addJitter(NoServerRetryAfter)};
}

bool entry_router::isKeyRevoked(const entry_call &Entry) const {
  return !isKeyOf(*State.view()->Config, Entry.Key, Entry.Call.Workspace);
}

awaitable<entry_result> entry_router::run(entry_request Request,
                                          cancel_signal Cancel) {
  entry_call Entry;
  Entry.View = State.view();
  // The configuration may have changed while the body was read.
  route_check Check =
      checkRoute(Request.Host, Request.Target, Request.Method, Request.Key);
  if (Check.Problem)
    co_return ownResult(*Check.Problem);
  const route_rule *Route = Entry.View->Config->match(
      Request.Host, pathOf(Request.Target), Request.Method);
  call_permission Permission =
      *checkKey(*Entry.View->Config, *Route, Request.Key);
  std::optional<request_id> Parent = Protocol.parentOf(Request.Id);
  Preparer.prepare(Entry, *Route, Permission, std::move(Request));
  if (isTooLate(Entry, currentTime()))
    co_return ownResult(own_answer::not_run);
  OpenCalls.insert(&Entry);
  std::optional<microseconds> OverCapFor =
      co_await Usage.admit(Entry.Call.Workspace);
  OpenCalls.erase(&Entry);
  if (Cancel.raised())
    co_return entry_result{entry_result::kind::caller_gone, {}, {}, {}};
  if (OverCapFor)
    co_return entry_result{
        entry_result::kind::own, {}, own_answer::over_cap, *OverCapFor};
  instant Now = currentTime();
  if (isTooLate(Entry, Now))
    co_return ownResult(own_answer::not_run);
  Entry.Call.IsRetry = Parent && Home.isRunningRetry(*Parent);
  if (Entry.Call.IsRetry)
    RetryBudget.recordRetry(Entry.Call.Service, Now);
  else
    RetryBudget.callStarted(Entry.Call.Service, Now);
  if (!admit(Entry, Now))
    co_return refuseAtEntry(Entry, "a downstream service is overloaded");
  if (isHedgeable(Entry))
    Hedges.callStarted(Entry.Call.Route);
  OpenCalls.insert(&Entry);
  Entry.Silent = std::make_shared<silent_attempts>(Context.get_executor());
  // If a call crashes servers, the end of each counts, also of one whose copy
  // is waited for.
  if (isHedgeable(Entry))
    Entry.Silent->OnEnded =
        [&State = State, Fingerprint = Entry.Call.Fingerprint](
            const endpoint &Endpoint, const mesh_answer &Answer) {
          recordServerEnd(State, Fingerprint, Endpoint, Answer, currentTime());
        };
  entry_result Result = co_await runAttempts(Entry, Cancel);
  Entry.Silent->cancel();
  endCopy(Entry, std::nullopt, currentTime());
  OpenCalls.erase(&Entry);
  co_return Result;
}

bool entry_router::isTooLate(const entry_call &Entry, instant Now) const {
  if (!Stop)
    return false;
  const mesh_call &Call = Entry.Call;
  // The call that a nested one belongs to runs here until its end.
  if (Closed || Call.Nested)
    return Closed && (!Call.Nested || Call.Deadline > Stop->answerUntil());
  return !Stop->mayStart(Call.Deadline,
                         Retries.usualTime(Entry, endpoint(), Now), Now);
}

std::size_t entry_router::endOpenCalls() {
  EndsCalls = true;
  std::size_t Ended = 0;
  for (entry_call *Entry : OpenCalls) {
    if (!isEnding(*Entry))
      continue;
    ++Ended;
    if (Entry->Abandon)
      Entry->Abandon();
  }
  return Ended;
}

bool entry_router::isEnding(const entry_call &Entry) const {
  return EndsCalls && Entry.Call.Deadline > Stop->answerUntil();
}

bool entry_router::isQuarantined(entry_call &Entry, instant Now) {
  microseconds Left = State.suspects().refusedFor(Entry.Call.Fingerprint, Now);
  if (Left.count() == 0)
    return false;
  Entry.RetryAfter = Left;
  Metrics.count("calls_quarantined");
  return true;
}

void entry_router::recordServerEnd(mesh_state &State,
                                   call_fingerprint Fingerprint,
                                   const endpoint &Endpoint,
                                   const mesh_answer &Answer, instant Now) {
  if (Answer.EndedServer)
    State.suspectsObserved({{Fingerprint,
                             {Endpoint.Worker, Answer.EndedServer->StartedAtMs},
                             Now}});
}

void entry_router::recordNotice(const endpoint &Endpoint,
                                const mesh_answer &Answer) {
  if (Answer.Status > 0)
    State.answerPassed({Endpoint.Worker, Endpoint.StartedAtMs},
                       Protocol.noticeIn(Answer.Fields));
}

bool entry_router::admit(const entry_call &Entry, instant Now) {
  const mesh_call &Call = Entry.Call;
  if (Call.Nested) {
    Downstream.recordNestedCall(Call.Service, Now);
    return true;
  }
  const endpoint_group *Group =
      findGroup(*Entry.View, Call.Service, Entry.Version);
  return !Group ||
         Roots.admit(Call.Route, Call.rank(), Picker.overload(*Group, Now));
}

entry_result entry_router::refuseAtEntry(entry_call &Entry,
                                         std::string Reason) {
  const mesh_call &Call = Entry.Call;
  if (!Call.Nested && Entry.Attempts == 0)
    ++RefusedAtEntry[{Call.Service, Call.rank()}];
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
          Call.Nested,         Call.rank()};
}

awaitable<entry_result> entry_router::runAttempts(entry_call &Entry,
                                                  cancel_signal Cancel) {
  for (;;) {
    instant Started = currentTime();
    if (isEnding(Entry))
      co_return endAtEntry(Entry, "this node is about to end");
    if ((Entry.Attempts > 0 || !Entry.Busy.empty()) && isKeyRevoked(Entry))
      co_return endAtEntry(Entry, "the API key of the caller was removed");
    if (isQuarantined(Entry, Started))
      co_return endAtEntry(Entry, "the call crashes backend servers");
    bool SendsCopy = Entry.Copy && !Entry.Copy->SentAt;
    const endpoint *Chosen =
        SendsCopy ? &Entry.Copy->Target : choose(Entry, Started);
    if (!SendsCopy && endsSearch(Entry, Chosen)) {
      letWait(Entry);
      continue;
    }
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
    if (SendsCopy)
      Entry.Copy->SentAt = Started;
    // A copy must not wait in a queue that others need.
    Entry.Call.OnlyIfFree = SendsCopy || asksForFreeSlot(Entry, Started);
    mesh_answer Answer = co_await runAttempt(Entry, Endpoint, Cancel);
    instant Now = currentTime();
    if (Cancel.raised()) {
      Metrics.count("calls_given_up");
      co_return entry_result{entry_result::kind::caller_gone, {}, {}, {}};
    }
    recordObservation(Entry, Endpoint, Answer, Now - Started, Now);
    recordWork(Entry, Endpoint, Answer, Now);
    bool FoundBusy = noteSearch(Entry, Endpoint.Node, Answer, Now);
    if (Answer.Superseded ||
        (FoundBusy && (SendsCopy || Entry.Silent->FirstAnswer.isSet()))) {
      std::optional<entry_result> First =
          co_await waitForSilentNodes(Entry, Cancel);
      if (First)
        co_return std::move(*First);
    }
    if (FoundBusy)
      continue;
    recordServerEnd(State, Entry.Call.Fingerprint, Endpoint, Answer, Now);
    recordNotice(Endpoint, Answer);
    Retries.recordAttempt(Entry, Answer, Now);
    next_step Step = decideNext(Answer.Outcome, Entry.History, [&] {
      return Retries.mayRetry(Entry, Answer.Outcome, Now);
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

bool entry_router::asksForFreeSlot(const entry_call &Entry, instant Now) {
  std::size_t Bytes = Entry.Call.Body ? Entry.Call.Body->size() : 0;
  return !Entry.MayWait && Bytes <= LargeBodyBytes &&
         Retries.mayAskAnotherNode(Entry) &&
         FreeSlots.isLikely(Entry.Call.Service, Now);
}

bool entry_router::noteSearch(entry_call &Entry, const node_id &Node,
                              const mesh_answer &Answer, instant Now) {
  if (!Entry.Call.OnlyIfFree)
    return false;
  if (Answer.NoFreeSlot || Answer.Status > 0)
    FreeSlots.record(Entry.Call.Service, !Answer.NoFreeSlot, Now);
  if (!Answer.NoFreeSlot)
    return false;
  Metrics.count("calls_found_no_free_slot");
  --Entry.Attempts; // the call was only offered
  Entry.Busy.insert(Node);
  if (!Entry.MayWait && Entry.Busy.size() >= MaxBusyHomeNodes)
    letWait(Entry);
  return true;
}

bool entry_router::endsSearch(const entry_call &Entry,
                              const endpoint *Next) const {
  return !Entry.MayWait && !Entry.Busy.empty() &&
         (!Next || Next->Domain != Settings.Domain);
}

void entry_router::letWait(entry_call &Entry) {
  Entry.MayWait = true;
  for (const node_id &Node : Entry.Busy)
    Entry.Tried.erase(Node);
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
  instant Now = currentTime();
  Log.attemptEnded(Entry, Endpoint, Answer, Step, Took,
                   Picker.recentLoad(Endpoint, Now), Now);
}

} // namespace chivebeam
