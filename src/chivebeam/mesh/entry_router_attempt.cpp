// How a call is sent to one backend server: until when its answer is waited
// for, and what is learned from the attempt.
#include "mesh/entry_router.h"

#include "net/clock.h"

namespace chivebeam {

namespace {

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

awaitable<std::optional<entry_result>>
entry_router::waitForSilentNodes(entry_call &Entry, cancel_signal Cancel) {
  std::shared_ptr<silent_attempts> Silent = Entry.Silent;
  bool MayBeAnswered = Silent->Open > 0 && !isEnding(Entry);
  if (!MayBeAnswered && !Silent->FirstAnswer.isSet())
    co_return std::nullopt;
  instant Started = currentTime();
  Silent->AwaitsLast = true;
  Cancel.onRaise([Silent] {
    Silent->FirstAnswer.set(
        emptyAnswer(attempt_outcome::lost, "the caller is gone"));
  });
  Entry.Abandon = [Silent] {
    Silent->FirstAnswer.set(
        emptyAnswer(attempt_outcome::lost, "this node is about to end"));
  };
  std::optional<mesh_answer> Answer =
      co_await Silent->FirstAnswer.wait(Entry.Call.Deadline - Started);
  Entry.Abandon = nullptr;
  Cancel.onRaise(nullptr);
  if (Cancel.raised()) {
    Metrics.count("calls_given_up");
    co_return entry_result{entry_result::kind::caller_gone, {}, {}, {}};
  }
  if (!Answer || !isServerAnswer(*Answer))
    co_return std::nullopt;
  recordNotice(Silent->AnsweredBy, *Answer);
  recordLatency(Entry, currentTime());
  recordWork(Entry, Silent->AnsweredBy, *Answer, currentTime());
  log(Entry, Silent->AnsweredBy, *Answer, next_step::deliver,
      currentTime() - Started);
  co_return finish(Entry, next_step::deliver, std::move(*Answer));
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
  Entry.Abandon = [Attempt, Reply] {
    Attempt.raise();
    Reply(emptyAnswer(attempt_outcome::lost, "this node is about to end"));
  };
  mesh_call Call = Entry.Call;
  Call.Worker = Endpoint.Worker;
  Call.UsualDuration = Retries.usualTime(Entry, Endpoint, Now);
  Call.KnownRateLimit =
      State.notices().rateLimit({Endpoint.Worker, Endpoint.StartedAtMs});
  if (!Call.Nested)
    Call.RefusedAtEntry =
        std::exchange(RefusedAtEntry[{Call.Service, Call.rank()}], 0);
  Picker.callStarted(Endpoint, Now);
  Preparer.versions().callStarted(Call.Service, Entry.OnNewVersion);
  if (Endpoint.Node == Settings.Node)
    Home.run(std::move(Call), Attempt, Reply);
  else
    Hub.call(Endpoint.Node, std::move(Call), Attempt, Reply);
  std::shared_ptr<silent_attempts> Silent = Entry.Silent;
  if (Hedges.isEnabled())
    Silent->OnAnswered = [PendingAnswer] {
      mesh_answer Late = emptyAnswer(attempt_outcome::lost,
                                     "another attempt was answered first");
      Late.Superseded = true;
      PendingAnswer.set(std::move(Late));
    };
  std::optional<mesh_answer> Answer =
      co_await awaitAnswer(Entry, PendingAnswer, Now);
  Silent->OnAnswered = nullptr;
  if (Answer && Answer->Superseded)
    Attempt.raise();
  instant AnsweredAt = currentTime();
  bool IsSilent = Answer && Answer->Silent && !LateAnswer.isSet();
  bool IsHedged = Answer && Answer->Hedged;
  if (IsHedged || (IsSilent && Retries.mayMoveOn(Entry, AnsweredAt))) {
    // The home node may still run the call, so the attempt goes on until there
    // is another answer.
    *MovedOn = true;
    Entry.Silent->add(Attempt);
  } else if (Answer && Answer->Silent) {
    Answer = co_await LateAnswer.wait(Entry.Call.Deadline - AnsweredAt);
  }
  Entry.Abandon = nullptr;
  Cancel.onRaise(nullptr);
  Preparer.versions().callEnded(Entry.Call.Service, Entry.OnNewVersion);
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
  Observed.Verdict = Answer.Hedged || Answer.Superseded
                         ? call_verdict::cancelled
                         : verdictOf(Answer);
  Observed.Latency = Took;
  bool HasLoad =
      !Answer.Unreachable && (Answer.Load.Limit > 0 || Answer.Status > 0 ||
                              Answer.RetryAfter.count() > 0);
  if (HasLoad)
    Observed.Load = Answer.Load;
  bool IsFull = Answer.Outcome == attempt_outcome::not_sent &&
                !Answer.Unreachable && !Answer.BeyondShare &&
                Answer.Load.Limit > 0;
  if (IsFull)
    Observed.RetryAfter = Answer.RetryAfter;
  Observed.Urgency = Entry.Call.rank();
  Observed.NoFreeSlot = Answer.NoFreeSlot;
  Observed.LargeBody =
      Entry.Call.Body && Entry.Call.Body->size() > LargeBodyBytes;
  if (Answer.Outcome == attempt_outcome::answered)
    recordLatency(Entry, Now);
  if (Answer.Outcome == attempt_outcome::answered && Answer.RunTime.count() > 0)
    Picker.recordDuration(Entry.Call.Route, Endpoint, Answer.RunTime);
  Picker.callEnded(Entry.Call.Service, Endpoint, Observed, Now);
}

} // namespace chivebeam
