#include "claim_simulation.h"

#include <algorithm>
#include <numeric>

namespace chivebeam::tests {

namespace {

constexpr milliseconds Latency{1};
constexpr milliseconds LongDelay{700};
constexpr milliseconds StoreTimeout{400};
constexpr milliseconds RequestTimeout{300};
constexpr milliseconds RetryLimit{1'500};
constexpr milliseconds RetryPause{50};
constexpr milliseconds CallLimit{2'000};
constexpr milliseconds OutageLength{1'200};
constexpr milliseconds OwnerPause{2'500};
constexpr seconds RunLength{12};
constexpr unsigned StatusOk = 200;

} // namespace

claim_simulation::claim_simulation(const std::vector<planned_call> &Calls,
                                   std::vector<planned_fault> PlannedFaults)
    : Faults(std::move(PlannedFaults)), Nodes(2), Now(seconds(1'000)) {
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
    restart(Node);
  for (const planned_call &Planned : Calls) {
    std::size_t Index = Callers.size();
    instant Start = Now + Planned.At;
    caller Caller;
    Caller.Request.Id = claim_id("call" + std::to_string(Index));
    Caller.Request.Key = {1, 1};
    Caller.Request.Request = request_digest(Planned.Request);
    Caller.Request.RunsUntil = Start + CallLimit;
    Caller.Request.WaitUntil = Start + CallLimit - RetryPause;
    Caller.StartedAt = Start;
    Caller.Times = {Start + RetryLimit, Start + CallLimit};
    Callers.push_back(Caller);
    at(Start, [this, Index] { ask(Index); });
  }
}

void claim_simulation::at(instant Time, std::function<void()> Run) {
  Events.push({Time, NextOrder++, false, std::move(Run)});
}

void claim_simulation::message(std::function<void()> Run) {
  Events.push({Now + Latency, NextOrder++, true, std::move(Run)});
}

std::size_t claim_simulation::run() {
  instant End = Now + RunLength;
  while (Now < End) {
    std::optional<instant> Wake = nextWake();
    if (!Events.empty() && (!Wake || Events.top().At <= *Wake)) {
      event Next = Events.top();
      Events.pop();
      Now = std::max(Now, Next.At);
      deliver(std::move(Next));
    } else if (Wake) {
      Now = std::max(Now, *Wake);
    } else {
      break;
    }
    for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
      runNode(Node);
  }
  return Steps;
}

bool claim_simulation::deliver(event Event) {
  if (Event.IsMessage && applyFaults(Event))
    return false;
  Event.Run();
  return true;
}

/// Applies the faults planned for this step. Returns true if the message is
/// lost or delayed.
bool claim_simulation::applyFaults(event &Event) {
  std::size_t Step = Steps++;
  bool IsWithheld = false;
  for (const planned_fault &Planned : Faults) {
    if (Planned.Step != Step)
      continue;
    LastFaultAt = Now;
    if (Planned.Kind == fault::lose)
      IsWithheld = true;
    else if (Planned.Kind == fault::duplicate)
      message(Event.Run);
    else if (Planned.Kind == fault::delay) {
      at(Now + LongDelay, Event.Run);
      IsWithheld = true;
    } else
      applyNodeFault(Planned.Kind);
  }
  return IsWithheld;
}

void claim_simulation::applyNodeFault(fault Kind) {
  std::size_t First = Owner;
  std::size_t Other = 1 - Owner;
  switch (Kind) {
  case fault::kill_entry:
    Callers[0].State = caller_state::dead;
    break;
  case fault::kill_home:
    ++HomeStartCount;
    break;
  case fault::refuse_at_home:
    HomeRefusesUntil = Now + OutageLength;
    break;
  case fault::restart_owner:
    restart(First);
    break;
  case fault::kill_owner:
    restart(First);
    Owner = Other;
    break;
  case fault::hand_over:
    Owner = Other;
    break;
  case fault::hand_over_and_back:
    Owner = Other;
    at(Now + OutageLength, [this, First] {
      Owner = First;
      Nodes[First].Shard->requireReload();
    });
    break;
  case fault::pause_owner:
    Owner = Other;
    Nodes[First].PausedUntil = Now + OwnerPause;
    break;
  case fault::store_outage:
    StoreDownUntil = Now + OutageLength;
    break;
  case fault::lose:
  case fault::duplicate:
  case fault::delay:
    break;
  }
}

void claim_simulation::restart(std::size_t Node) {
  owner_node &Restarted = Nodes[Node];
  ++Restarted.StartCount;
  Restarted.Requesters.clear();
  Restarted.PausedUntil = Now;
  Restarted.Shard = std::make_unique<claim_shard>(
      claim_limits(), Node * 100 + Restarted.StartCount);
}

/// Runs a function on a node unless the node has restarted since; a paused node
/// runs it when it resumes.
void claim_simulation::runOnNode(std::size_t Node, unsigned StartCount,
                                 std::function<void()> Run) {
  if (Nodes[Node].StartCount != StartCount)
    return;
  if (Nodes[Node].PausedUntil > Now) {
    at(Nodes[Node].PausedUntil,
       [this, Node, StartCount, Run] { runOnNode(Node, StartCount, Run); });
    return;
  }
  Run();
}

std::optional<instant> claim_simulation::nextWake() {
  std::optional<instant> Earliest;
  for (const owner_node &Node : Nodes) {
    instant Wake = std::max(Node.Shard->nextWakeTime(Now), Node.PausedUntil);
    Wake = std::max(Wake, Now + Latency);
    if (!Earliest || Wake < *Earliest)
      Earliest = Wake;
  }
  return Earliest;
}

void claim_simulation::runNode(std::size_t Node) {
  owner_node &Served = Nodes[Node];
  if (Served.PausedUntil > Now)
    return;
  Served.Shard->tick(Now);
  while (std::optional<log_step> Step = Served.Shard->nextStep(Now))
    callStore(Node, *Step);
  for (const claim_reply &Reply : Served.Shard->takeReplies()) {
    auto Requester = Served.Requesters.find(Reply.Ticket);
    if (Requester == Served.Requesters.end())
      continue;
    std::size_t Caller = Requester->second;
    message(
        [this, Caller, Answer = Reply.Answer] { answered(Caller, Answer); });
    Served.Requesters.erase(Requester);
  }
}

void claim_simulation::callStore(std::size_t Node, const log_step &Step) {
  unsigned StartCount = Nodes[Node].StartCount;
  std::uint64_t Call = ++Nodes[Node].StoreCall;
  auto Finish = [this, Node, StartCount, Call](auto Report) {
    runOnNode(Node, StartCount, [this, Node, Call, Report] {
      if (Nodes[Node].StoreCall != Call)
        return;
      ++Nodes[Node].StoreCall;
      Report(*Nodes[Node].Shard);
    });
  };
  message([this, Step, Finish] {
    if (StoreDownUntil > Now)
      return;
    auto Report = runInStore(Step);
    message([Finish, Report] { Finish(Report); });
  });
  at(Now + StoreTimeout, [this, Finish, Kind = Step.Kind] {
    Finish([this, Kind](claim_shard &Shard) {
      if (Kind == log_step_kind::load)
        Shard.loadEnded(std::nullopt, Now);
      else if (Kind == log_step_kind::commit)
        Shard.commitEnded(commit_end::failed, log_position(), Now);
      else
        Shard.readBackEnded(std::nullopt, Now);
    });
  });
}

std::function<void(claim_shard &)>
claim_simulation::runInStore(const log_step &Step) {
  if (Step.Kind == log_step_kind::load) {
    claim_log Log;
    Log.Head = Head;
    for (const auto &[Sequence, Stored] : Segments) {
      Log.LastSequence = Sequence;
      Log.Segments.push_back(Stored.Segment);
    }
    return [this, Log](claim_shard &Shard) { Shard.loadEnded(Log, Now); };
  }
  if (Step.Kind == log_step_kind::commit) {
    commit_end End = commit(Step.Segment, Step.Head);
    return [this, End, At = Head](claim_shard &Shard) {
      Shard.commitEnded(End, At, Now);
    };
  }
  read_back_result Found;
  if (auto Stored = Segments.find(Step.Segment.Sequence);
      Stored != Segments.end())
    Found = {Stored->second.Segment.Batch, Stored->second.WrittenAt};
  return [this, Found](claim_shard &Shard) { Shard.readBackEnded(Found, Now); };
}

commit_end claim_simulation::commit(const claim_segment &Segment,
                                    log_position Expected) {
  if (Segments.contains(Segment.Sequence) || Head != Expected)
    return commit_end::refused;
  Head = log_position(++Revision);
  Segments[Segment.Sequence] = {Segment, Head};
  return commit_end::committed;
}

void claim_simulation::ask(std::size_t Index) {
  caller &Caller = Callers[Index];
  if (Caller.State == caller_state::dead)
    return;
  Caller.State = caller_state::asking;
  unsigned RequestCount = ++Caller.RequestCount;
  claim_ticket Ticket(++NextTicket);
  std::size_t Node = Owner;
  message([this, Node, Index, Ticket, Request = Caller.Request] {
    runOnNode(Node, Nodes[Node].StartCount,
              [this, Node, Index, Ticket, Request] {
                Nodes[Node].Requesters[Ticket] = Index;
                Nodes[Node].Shard->ask(Ticket, Request, Now);
              });
  });
  at(Now + RequestTimeout, [this, Index, RequestCount] {
    if (Callers[Index].RequestCount == RequestCount)
      answered(Index, std::nullopt);
  });
}

/// Handles an answer; an answer to an earlier request of the same claim is
/// valid too.
void claim_simulation::answered(std::size_t Index,
                                std::optional<claim_answer> Answer) {
  caller &Caller = Callers[Index];
  if (Caller.State != caller_state::asking)
    return;
  if (Answer)
    Caller.Verdict = Answer->Verdict;
  switch (decideHolderStep(Answer, Caller.Times, Now)) {
  case holder_step::retry:
    ++Caller.RequestCount;
    at(Now + RetryPause, [this, Index, RequestCount = Caller.RequestCount] {
      if (Callers[Index].State == caller_state::asking &&
          Callers[Index].RequestCount == RequestCount)
        ask(Index);
    });
    break;
  case holder_step::run:
    call(Index);
    break;
  case holder_step::refuse:
    refuse(Index, Answer);
    break;
  }
}

void claim_simulation::call(std::size_t Index) {
  Callers[Index].State = caller_state::calling;
  claim_id Id = Callers[Index].Request.Id;
  unsigned StartCount = HomeStartCount;
  auto Delivered = std::make_shared<bool>(false);
  message([this, Index, Id, StartCount, Delivered] {
    // A TCP connection delivers a request once, even if packets are duplicated.
    if (std::exchange(*Delivered, true) || StartCount != HomeStartCount)
      return;
    if (HomeRefusesUntil > Now) {
      message([this, Index] {
        endCall(Index, claim_outcome::released, caller_result::not_run);
      });
      return;
    }
    ++Executed[Id];
    message([this, Index, StartCount] {
      if (StartCount == HomeStartCount)
        endCall(Index, claim_outcome::ran, caller_result::ran);
    });
  });
  at(Callers[Index].Times.Deadline, [this, Index] {
    endCall(Index, claim_outcome::unknown, caller_result::unknown);
  });
}

void claim_simulation::endCall(std::size_t Index, claim_outcome Outcome,
                               caller_result Result) {
  caller &Caller = Callers[Index];
  if (Caller.State != caller_state::calling)
    return;
  Caller.State = caller_state::ended;
  Caller.Result = Result;
  claim_end End{Caller.Request.Id, Caller.Request.Key, Outcome, StatusOk};
  message([this, Node = Owner, End] {
    runOnNode(Node, Nodes[Node].StartCount,
              [this, Node, End] { Nodes[Node].Shard->end(End, Now); });
  });
}

void claim_simulation::refuse(std::size_t Index,
                              const std::optional<claim_answer> &Answer) {
  claim_verdict Verdict = Answer ? Answer->Verdict : claim_verdict::unavailable;
  caller_result Result = caller_result::not_run;
  if (Verdict == claim_verdict::ran)
    Result = caller_result::ran;
  if (Verdict == claim_verdict::unknown || Verdict == claim_verdict::running)
    Result = caller_result::unknown;
  Callers[Index].State = caller_state::calling;
  endCall(Index, claim_outcome::released, Result);
}

unsigned claim_simulation::executions() const {
  return std::accumulate(
      Executed.begin(), Executed.end(), 0U,
      [](unsigned Sum, const auto &Item) { return Sum + Item.second; });
}

bool claim_simulation::executed(std::size_t Caller) const {
  return Executed.contains(Callers[Caller].Request.Id);
}

} // namespace chivebeam::tests
