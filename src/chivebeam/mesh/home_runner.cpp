#include "mesh/home_runner.h"

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// The backend server is on the same machine; a longer silence means that it
/// does not take connections.
constexpr milliseconds ConnectTimeout{300};
/// After a failed connection, calls are handed back at once for so long.
constexpr milliseconds UnreachableTime{250};
/// The backend server stops by itself at the deadline; its last word is waited
/// for a little longer.
constexpr milliseconds LastWordTime{60};
/// An older idle connection may be closed just as a call is sent. A call that
/// must not run twice can't be sent again then, so its limit is closer.
constexpr milliseconds MaxIdle{4'000};
constexpr milliseconds MaxIdleOnce{1'000};
/// Kept from the time for which the backend server says that it keeps a
/// connection.
constexpr milliseconds KeepAliveMargin{1'000};
/// A refused call is told to come back after at least so long.
constexpr milliseconds MinWait{30};

} // namespace

home_runner::home_runner(asio::io_context &IoContext,
                         const call_dialect &CallDialect,
                         double LinkBytesPerSecond)
    : Context(IoContext), Dialect(CallDialect), Bodies(LinkBytesPerSecond) {}

void home_runner::follow(const worker_report &Report) {
  bool Another = !Worker || Worker->Start != Report.Start;
  if (Another || Worker->At != Report.At)
    Idle.clear();
  if (Another) {
    Queue.resetServiceTimes();
    Failures.reset();
    Evidence.clear();
    UnreachableUntil = instant();
  }
  Worker = Report;
  bool Takes = Report.Worker.State == worker_state::ready && !Stopping;
  apply(Queue.setSlots(Takes ? Report.Worker.Slots : 0));
}

void home_runner::stop() {
  Stopping = true;
  apply(Queue.setSlots(0));
  for (auto &[Number, Decide] : std::exchange(Offered, {})) {
    Bodies.transferEnded(call_number(Number), currentTime());
    Decide(refusal(MinWait, "this node stops"));
  }
}

void home_runner::tick(instant Now) {
  apply(Queue.refuseUnservable(Now));
  apply(Bodies.refuseUnservable(Now));
}

void home_runner::apply(const slot_update &Change) {
  auto Tell = [&](const std::vector<call_number> &Calls, bool Started) {
    for (call_number Call : Calls)
      if (auto Found = Waiting.find(Call.value()); Found != Waiting.end())
        Found->second.set(Started);
  };
  Tell(Change.Started, true);
  Tell(Change.Refused, false);
}

bool home_runner::isFor(const mesh_call &Call) const {
  return Worker && !Stopping && Worker->Start.Worker == Call.Worker &&
         Worker->Worker.State == worker_state::ready;
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
          Call.Urgency,
          Call.Nested,
          Call.Goal,
          Call.Deadline,
          Call.Usual};
}

mesh_answer home_runner::refusal(microseconds Wait, std::string Reason) const {
  mesh_answer Answer = noAnswer(attempt_outcome::not_sent, std::move(Reason));
  Answer.Wait = std::max<microseconds>(Wait, MinWait);
  Answer.Load = load();
  return Answer;
}

void home_runner::refuse(const job &Job, std::string Reason) {
  finish(Job,
         refusal(Queue.excessWait(Job.Slot, currentTime()), std::move(Reason)));
}

call_number home_runner::offerBody(const mesh_call &Call,
                                   body_decision Decide) {
  instant Now = currentTime();
  slot_request Slot = slotRequest(Call);
  body_offer Offer{Slot.Call, Call.OfferedBytes, Call.Goal, Call.Deadline,
                   Queue.expectedLatency(Slot, Now)};
  if (!isFor(Call))
    Decide(refusal(MinWait, "another backend server is here, or none"));
  else if (Now < UnreachableUntil)
    Decide(refusal(MinWait, "the backend server can't be reached"));
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
                          "the link can't take its body in time"));
  case transfer_decision::wait:
    Offered.emplace(Offer.Call.value(), std::move(Decide));
  }
}

void home_runner::bodyEnded(call_number Offer) {
  Offered.erase(Offer.value());
  apply(Bodies.transferEnded(Offer, currentTime()));
}

void home_runner::apply(const transfer_update &Change) {
  auto Tell = [&](const std::vector<call_number> &Calls, bool Wanted) {
    for (call_number Call : Calls) {
      auto Found = Offered.extract(Call.value());
      if (!Found.empty())
        Found.mapped()(Wanted ? std::nullopt
                              : std::optional(refusal(
                                    MinWait, "its body did not come in time")));
    }
  };
  Tell(Change.Admitted, true);
  Tell(Change.Refused, false);
}

home_load home_runner::load() const {
  instant Now = currentTime();
  home_load Load = Queue.load(Now);
  Load.Downstream = Downstream;
  Load.DownstreamRetryBudgetPermille = DownstreamRetryBudgetPermille;
  Load.FailedPermille = static_cast<unsigned>(Failures.value(Now) * 1'000);
  if (Now < UnreachableUntil)
    Load.Limit = 0;
  return Load;
}

awaitable<void> home_runner::serve(job_ptr Job) {
  instant Now = currentTime();
  const mesh_call &Call = Job->Call;
  if (!isFor(Call))
    co_return refuse(*Job, "another backend server is here, or none");
  if (Now < UnreachableUntil)
    co_return refuse(*Job, "the backend server can't be reached");
  Queue.recordRefusedAtEntry(Call.Urgency, Call.Unasked, Now);
  slot_decision Answer = Queue.arrive(Job->Slot, Now);
  if (Answer == slot_decision::refuse)
    co_return refuse(*Job, "no slot would be free in time");
  bool Runs = true;
  if (Answer == slot_decision::wait)
    Runs = co_await waitForSlot(Job);
  if (!Runs)
    co_return refuse(*Job, Job->Cancel.raised()
                               ? "its caller went away while it waited"
                               : "no slot became free in time");
  co_await runOnWorker(Job);
}

awaitable<bool> home_runner::waitForSlot(job_ptr Job) {
  one_shot<bool> Turn(Context.get_executor());
  Waiting.emplace(Job->Slot.Call.value(), Turn);
  // It leaves the queue at once, so that no slot is given to it any more.
  auto GiveUp = [this, Turn, Number = Job->Slot.Call] {
    Queue.abandon(Number);
    Turn.set(false);
  };
  Job->Cancel.onRaise(GiveUp);
  if (Job->Cancel.raised())
    GiveUp();
  std::optional<bool> Started =
      co_await Turn.wait(Job->Call.Deadline - currentTime());
  Job->Cancel.onRaise(nullptr);
  Waiting.erase(Job->Slot.Call.value());
  bool Runs = Started.value_or(false);
  if (!Runs)
    Queue.abandon(Job->Slot.Call);
  co_return Runs;
}

std::shared_ptr<worker_connection>
home_runner::takeIdle(microseconds MaxIdleTime) {
  instant Now = currentTime();
  while (!Idle.empty()) {
    std::shared_ptr<worker_connection> Last = std::move(Idle.back());
    Idle.pop_back();
    microseconds Bound = MaxIdleTime;
    if (Last->KeepAlive.count() > 0)
      Bound = std::min<microseconds>(Bound, Last->KeepAlive - KeepAliveMargin);
    if (Now - Last->IdleSince < Bound && Last->isQuiet())
      return Last;
    Last->close();
  }
  return nullptr;
}

void home_runner::keep(std::shared_ptr<worker_connection> Connection) {
  if (Connection->reusable() && Worker)
    Idle.push_back(std::move(Connection));
}

awaitable<std::shared_ptr<worker_connection>>
home_runner::connection(bool Idempotent) {
  if (auto Kept = takeIdle(Idempotent ? MaxIdle : MaxIdleOnce))
    co_return Kept;
  ++ConnectionsOpened;
  address At = Worker->At;
  auto Connection = co_await connectToWorker(At, ConnectTimeout);
  if (!Connection) {
    UnreachableUntil = currentTime() + UnreachableTime;
    log_event("worker_unreachable")
        .add("worker", Worker->Start.Worker)
        .add("address", At.text());
  }
  co_return Connection;
}

awaitable<void> home_runner::runOnWorker(job_ptr Job) {
  const mesh_call &Call = Job->Call;
  std::shared_ptr<worker_connection> Connection =
      co_await connection(Call.Idempotent);
  instant Now = currentTime();
  // The backend server may have been replaced while the call waited.
  bool Sendable =
      Connection && isFor(Call) && !Job->Cancel.raised() && Now < Call.Deadline;
  if (!Sendable) {
    if (Connection)
      keep(std::move(Connection));
    apply(Queue.releaseUnused(Now));
    co_return refuse(*Job, "the backend server could not be sent the call");
  }
  header_list Fields = Call.Fields;
  Dialect.addForWorker(
      Fields, Call,
      std::chrono::duration_cast<milliseconds>(Call.Deadline - Now));
  // Work that must not be repeated is worth finishing without its caller.
  cancel_signal Cancel = Call.Idempotent ? Job->Cancel : cancel_signal();
  if (Call.Repeat)
    Repeats.insert(Call.Id);
  mesh_answer Answer = co_await Connection->exchange(
      Call, Fields, Dialect, Call.Deadline + LastWordTime, Cancel);
  instant Ended = currentTime();
  Repeats.erase(Call.Id);
  keep(std::move(Connection));
  Answer.Ran = Ended - Now;
  noteEnd(*Job, Answer, Ended);
  finish(*Job, std::move(Answer));
}

void home_runner::noteEnd(const job &Job, const mesh_answer &Answer,
                          instant Now) {
  bool BrokenOff = Job.Cancel.raised() && Answer.Status == 0;
  bool Refused = Answer.Outcome == attempt_outcome::server_refused;
  if (BrokenOff || Refused) {
    apply(Queue.releaseUnused(Now));
    return;
  }
  bool Failed = Answer.Outcome != attempt_outcome::answered;
  Failures.record(Failed, Now);
  Evidence[Job.Call.Route].record(Failed, Answer.Ran);
  apply(Queue.release(Job.Slot, Answer.Ran, Now));
}

} // namespace chivebeam
