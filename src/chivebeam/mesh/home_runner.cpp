#include "mesh/home_runner.h"

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// The backend server ends a call by itself at the deadline. This is the
/// additional time for its final answer to arrive.
constexpr milliseconds FinalAnswerGrace{60};
/// Shortest retry time in the answer to a refused call.
constexpr milliseconds MinRetryAfter{30};

} // namespace

home_runner::home_runner(asio::io_context &IoContext,
                         const call_protocol &CallProtocol,
                         suspect_listener &SuspectListener,
                         body_budget &Answers, double LinkBytesPerSecond)
    : Context(IoContext), Protocol(CallProtocol), Suspects(SuspectListener),
      StartTimer(IoContext), Bodies(LinkBytesPerSecond),
      Connections(Answers, [this](const worker_start &Start) {
        serverEnded(Start, currentTime());
      }) {}

void home_runner::endOffers(const std::string &Reason) {
  for (auto &[Number, Decide] : std::exchange(UndecidedOffers, {})) {
    Bodies.transferEnded(call_number(Number), currentTime());
    Decide(refusal(MinRetryAfter, Reason));
  }
}

void home_runner::stop() {
  Stopping = true;
  updateSlots(currentTime());
  endOffers("this node is stopping");
}

void home_runner::tick(instant Now) {
  apply(Queue.refuseUnservable(Now));
  apply(Bodies.refuseUnservable(Now));
  Notices.tick(Now);
}

void home_runner::apply(const slot_update &Change) {
  auto Notify = [&](const std::vector<call_number> &Calls, bool Started) {
    for (call_number Call : Calls)
      if (auto Found = SlotWaiters.find(Call.value());
          Found != SlotWaiters.end())
        Found->second.set(Started);
  };
  Notify(Change.Started, true);
  Notify(Change.Refused, false);
  scheduleStart();
}

void home_runner::scheduleStart() {
  std::optional<microseconds> Wait = Queue.timeUntilStart(currentTime());
  if (!Wait)
    return;
  StartTimer.expires_after(*Wait);
  StartTimer.async_wait([this](error_code Code) {
    if (!Code)
      apply(Queue.startDue(currentTime()));
  });
}

void home_runner::applyNotice(const worker_start &Start,
                              const server_notice &Notice, instant SentAt,
                              instant Now) {
  if (Notices.answered(Start, Notice, SentAt, Now))
    apply(Queue.setRateLimit(Notices.rateLimit(), Now));
  if (Notice.IsLeaving)
    OnServerLeaving(Start);
}

void home_runner::applyKnownLimit(const mesh_call &Call, instant Now) {
  if (Call.KnownRateLimit &&
      Notices.limitSeenElsewhere(*Call.KnownRateLimit, Now))
    apply(Queue.setRateLimit(Notices.rateLimit(), Now));
}

bool home_runner::isForCurrentWorker(const mesh_call &Call) const {
  return Worker && !Stopping && !Evacuated &&
         Worker->Start.Worker == Call.Worker &&
         Worker->Worker.State == worker_state::ready;
}

bool home_runner::isTooLate(const mesh_call &Call, const slot_request &Slot,
                            instant Now) const {
  return Stop && !Call.Nested &&
         !Stop->mayStart(Call.Deadline, Queue.expectedLatency(Slot, Now), Now);
}

void home_runner::run(mesh_call Call, const cancel_signal &Cancel,
                      reply Reply) {
  auto Job = std::make_shared<job>();
  Job->Call = std::move(Call);
  Job->Cancel = Cancel;
  Job->Reply = std::move(Reply);
  Job->Slot = slotRequest(Job->Call);
  ++Active;
  asio::co_spawn(Context, serve(Job), asio::detached);
}

void home_runner::finish(const job &Job, mesh_answer Answer) {
  --Active;
  Answer.Load = load();
  Job.Reply(std::move(Answer));
}

slot_request home_runner::slotRequest(const mesh_call &Call) {
  return {call_number(++NextNumber),
          Call.Route,
          Call.rank(),
          Call.Nested,
          Call.Goal,
          Call.Deadline,
          Call.UsualDuration};
}

mesh_answer home_runner::refusal(microseconds RetryAfter,
                                 std::string Reason) const {
  mesh_answer Answer =
      emptyAnswer(attempt_outcome::not_sent, std::move(Reason));
  Answer.RetryAfter = std::max<microseconds>(RetryAfter, MinRetryAfter);
  Answer.Load = load();
  return Answer;
}

void home_runner::refuse(const job &Job, std::string Reason) {
  mesh_answer Answer =
      refusal(Queue.excessWait(Job.Slot, currentTime()), std::move(Reason));
  Answer.BeyondShare = Job.Slot.BeyondShare;
  finish(Job, std::move(Answer));
}

call_number home_runner::offerBody(const mesh_call &Call,
                                   body_decision Decide) {
  instant Now = currentTime();
  slot_request Slot = slotRequest(Call);
  body_offer Offer{Slot.Call, Call.OfferedBytes, Call.Goal, Call.Deadline,
                   Queue.expectedLatency(Slot, Now)};
  if (!isForCurrentWorker(Call) || isTooLate(Call, Slot, Now))
    Decide(refusal(MinRetryAfter, reasonNotForWorker()));
  else if (Connections.isUnreachable(Now))
    Decide(refusal(MinRetryAfter, "the backend server can't be reached"));
  else if (!Queue.wouldAccept(Slot, Now))
    Decide(
        refusal(Queue.excessWait(Slot, Now), "no slot would be free in time"));
  else
    decideOffer(Offer, std::move(Decide), Now);
  return Slot.Call;
}

void home_runner::decideOffer(const body_offer &Offer, body_decision Decide,
                              instant Now) {
  switch (Bodies.offer(Offer, Now)) {
  case transfer_decision::send:
    return Decide(std::nullopt);
  case transfer_decision::refuse:
    return Decide(refusal(Bodies.excessWait(Offer, Now),
                          "the link can't transfer the body in time"));
  case transfer_decision::wait:
    UndecidedOffers.emplace(Offer.Call.value(), std::move(Decide));
  }
}

void home_runner::bodyEnded(call_number Offer) {
  UndecidedOffers.erase(Offer.value());
  apply(Bodies.transferEnded(Offer, currentTime()));
}

void home_runner::apply(const transfer_update &Change) {
  auto Notify = [&](const std::vector<call_number> &Calls, bool Admitted) {
    for (call_number Call : Calls) {
      auto Found = UndecidedOffers.extract(Call.value());
      if (!Found.empty())
        Found.mapped()(
            Admitted
                ? std::nullopt
                : std::optional(refusal(
                      MinRetryAfter, "the body can't be transferred in time")));
    }
  };
  Notify(Change.Admitted, true);
  Notify(Change.Refused, false);
}

home_load home_runner::load() const {
  instant Now = currentTime();
  home_load Load = Queue.load(Now);
  Load.Downstream = Downstream;
  Load.DownstreamRetryBudgetPermille = DownstreamRetryBudgetPermille;
  Load.FailedPermille = static_cast<unsigned>(Failures.value(Now) * 1'000);
  if (Connections.isUnreachable(Now))
    Load.Limit = 0;
  return Load;
}

awaitable<void> home_runner::serve(job_ptr Job) {
  instant Now = currentTime();
  const mesh_call &Call = Job->Call;
  if (!isForCurrentWorker(Call) || isTooLate(Call, Job->Slot, Now))
    co_return refuse(*Job, reasonNotForWorker());
  if (Connections.isUnreachable(Now))
    co_return refuse(*Job, "the backend server can't be reached");
  Queue.recordRefusedAtEntry(Call.rank(), Call.RefusedAtEntry, Now);
  applyKnownLimit(Call, Now);
  if (Call.OnlyIfFree && !Queue.hasFreeSlot(Now)) {
    mesh_answer Answer =
        emptyAnswer(attempt_outcome::not_sent, "no slot is free now");
    Answer.NoFreeSlot = true;
    co_return finish(*Job, std::move(Answer));
  }
  if (!Shares.countCall(Call.Workspace, Now)) {
    ++CallsBeyondShares;
    Job->Slot.BeyondShare = true;
    Job->Slot.Urgency = Shares.rankBeyondShare(Call.Workspace);
  }
  slot_decision Answer = Queue.arrive(Job->Slot, Now);
  if (Answer == slot_decision::refuse)
    co_return refuse(*Job, "no slot would be free in time");
  bool Runs = true;
  if (Answer == slot_decision::wait)
    Runs = co_await waitForSlot(Job);
  if (!Runs)
    co_return refuse(*Job, Job->Cancel.raised()
                               ? "the caller disconnected while the call waited"
                               : "no slot became free in time");
  co_await runOnWorker(Job);
}

awaitable<bool> home_runner::waitForSlot(job_ptr Job) {
  one_shot<bool> SlotGranted(Context.get_executor());
  SlotWaiters.emplace(Job->Slot.Call.value(), SlotGranted);
  // The call leaves the queue at once, so that no slot is given to it.
  auto Abandon = [this, SlotGranted, Number = Job->Slot.Call] {
    Queue.abandon(Number);
    SlotGranted.set(false);
  };
  Job->Cancel.onRaise(Abandon);
  scheduleStart();
  if (Job->Cancel.raised())
    Abandon();
  std::optional<bool> Started =
      co_await SlotGranted.wait(Job->Call.Deadline - currentTime());
  Job->Cancel.onRaise(nullptr);
  SlotWaiters.erase(Job->Slot.Call.value());
  bool Runs = Started.value_or(false);
  if (!Runs)
    Queue.abandon(Job->Slot.Call);
  co_return Runs;
}

awaitable<bool> home_runner::checkServerGone(worker_start Start) {
  // Another call's check may have found the server gone, or it has been
  // replaced.
  if (!Connections.isServerGone(Start))
    if (auto Connection = co_await Connections.open())
      Connections.giveBack(std::move(Connection));
  bool IsGone = Connections.isServerGone(Start);
  if (IsGone || Connections.isUnreachable(currentTime()))
    serverMayHaveEnded();
  if (IsGone)
    serverEnded(Start, currentTime());
  co_return IsGone;
}

awaitable<void> home_runner::checkServerEnd(const mesh_call &Call,
                                            worker_start Start,
                                            exchange_outcome End,
                                            mesh_answer &Answer) {
  // An answer without a length is whole unless the server ended, so its call is
  // noted only then.
  if (End == exchange_outcome::server_closed) {
    Broken.add(Call.Fingerprint, Start, currentTime());
    connectionBroke();
  }
  bool IsGone = co_await checkServerGone(Start);
  if (!IsGone)
    co_return;
  if (End == exchange_outcome::answered_close) {
    Broken.add(Call.Fingerprint, Start, currentTime());
    serverEnded(Start, currentTime());
    Answer = emptyAnswer(attempt_outcome::lost,
                         "the backend server ended while it answered");
  }
  Answer.EndedServer = Start;
}

void home_runner::recordAnswer(const mesh_call &Call,
                               const mesh_answer &Answer) {
  if (Answer.Outcome != attempt_outcome::answered)
    return;
  instant Now = currentTime();
  Answered.add(Call.Fingerprint, Now);
  if (Suspects.suspects().isSuspect(Call.Fingerprint))
    Suspects.suspectsObserved({{Call.Fingerprint, {}, Now}});
}

void home_runner::serverEnded(const worker_start &Start, instant Now) {
  std::vector<call_fingerprint> Ran = Broken.takeEnded(Start, Now);
  if (Ran.empty())
    return;
  std::string Calls;
  for (call_fingerprint Fingerprint : Ran)
    Calls += (Calls.empty() ? "" : ",") + toHex(Fingerprint);
  log_event("server_ended")
      .add("worker", Start.Worker)
      .add("started_ms", Start.StartedAtMs)
      .add("calls", Calls);
  std::vector<suspect_event> Events;
  Events.reserve(2 * Ran.size());
  for (call_fingerprint Fingerprint : Ran) {
    if (std::optional<instant> AnsweredAt = Answered.lastAnswer(Fingerprint))
      Events.push_back({Fingerprint, {}, *AnsweredAt});
    Events.push_back({Fingerprint, Start, Now});
  }
  Suspects.suspectsObserved(Events);
}

awaitable<void> home_runner::runOnWorker(job_ptr Job) {
  const mesh_call &Call = Job->Call;
  std::shared_ptr<worker_connection> Connection =
      co_await Connections.acquire(Call);
  instant Now = currentTime();
  // The backend server may have been replaced while the call waited.
  bool Sendable = Connection && isForCurrentWorker(Call) &&
                  !Job->Cancel.raised() && Now < Call.Deadline;
  if (!Connection)
    serverMayHaveEnded();
  if (!Sendable) {
    if (Connection)
      Connections.giveBack(std::move(Connection));
    apply(Queue.releaseUnused(Now));
    co_return refuse(*Job, "the call could not be sent to the backend server");
  }
  if (Suspects.suspects().refusedFor(Call.Fingerprint, Now).count() > 0) {
    Connections.giveBack(std::move(Connection));
    apply(Queue.releaseUnused(Now));
    // Without a retry time, since this node has capacity for other calls.
    co_return finish(*Job, emptyAnswer(attempt_outcome::not_sent,
                                       "the call crashes backend servers"));
  }
  header_list Fields = Call.Fields;
  Protocol.addWorkerFields(
      Fields, Call,
      std::chrono::duration_cast<milliseconds>(Call.Deadline - Now));
  // A call that is not idempotent runs to its end even if its caller is gone,
  // since it can't be retried safely.
  cancel_signal Cancel = Call.Idempotent ? Job->Cancel : cancel_signal();
  if (Call.IsRetry)
    RunningRetries.insert(Call.Id);
  worker_start Start = Worker->Start;
  Notices.callSent(Call.IsRetry, Now);
  mesh_answer Answer = co_await Connection->exchange(
      Call, Fields, Protocol, Call.Deadline + FinalAnswerGrace, Cancel);
  instant Ended = currentTime();
  RunningRetries.erase(Call.Id);
  if (Answer.Status > 0)
    applyNotice(Start, Answer.Notice, Now, Ended);
  exchange_outcome End = Connection->lastEnd();
  bool MayHaveRun = Answer.Outcome != attempt_outcome::server_refused;
  if (End == exchange_outcome::given_up)
    Broken.addGivenUp(Call.Fingerprint, Start, Ended);
  if (End == exchange_outcome::server_closed ||
      (End == exchange_outcome::answered_close && MayHaveRun))
    co_await checkServerEnd(Call, Start, End, Answer);
  recordAnswer(Call, Answer);
  Connections.giveBack(std::move(Connection));
  Answer.RunTime = Ended - Now;
  recordResult(*Job, Answer, Ended);
  finish(*Job, std::move(Answer));
}

void home_runner::recordResult(const job &Job, const mesh_answer &Answer,
                               instant Now) {
  bool Cancelled = Job.Cancel.raised() && Answer.Status == 0;
  bool Refused = Answer.Outcome == attempt_outcome::server_refused;
  if (Cancelled || Refused) {
    apply(Queue.releaseUnused(Now));
    return;
  }
  bool Failed = Answer.Outcome != attempt_outcome::answered;
  Failures.record(Failed, Now);
  Evidence[Job.Call.Route].record(Failed, Answer.RunTime);
  apply(Queue.release(Job.Slot, Answer.RunTime, Now));
}

} // namespace chivebeam
