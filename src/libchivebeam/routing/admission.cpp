#include "routing/admission.h"

#include <algorithm>

namespace chivebeam {

namespace {

constexpr std::size_t MaxQueuedPerSlot = 4;
/// One of this many starts goes to the lowest waiting class, so that no class
/// starves.
constexpr unsigned LowestClassInterval = 8;

std::size_t indexOf(work_class Class) {
  return static_cast<std::size_t>(Class);
}

} // namespace

std::size_t admission::queueBound() const {
  return Limit.current() * MaxQueuedPerSlot;
}

std::size_t admission::queuedAhead(work_class Class) const {
  std::size_t Sum = 0;
  for (std::size_t Index = indexOf(Class); Index < WorkClassCount; ++Index)
    Sum += Queues[Index].Size;
  return Sum;
}

microseconds admission::expectedWait() const {
  if (freeSlots() > 0 && Queued == 0)
    return microseconds(0);
  auto Turns = static_cast<std::int64_t>(Queued + 1);
  return Limit.serviceTime() * Turns /
         static_cast<std::int64_t>(std::max(1U, Limit.current()));
}

admission_update admission::setSlots(unsigned NewSlots, instant Now) {
  admission_update Update;
  Limit.setSlots(NewSlots);
  if (NewSlots == 0)
    refuseAll(Update);
  else
    startWaiting(Now, Update);
  return Update;
}

void admission::refuseAll(admission_update &Update) {
  for (class_queue &Queue : Queues)
    while (Queue.Size > 0)
      Update.Refused.push_back(pop(Queue).Call);
}

admission_decision admission::arrive(const admission_request &Call, instant Now,
                                     admission_update &Update) {
  if (Call.Deadline <= Now || Limit.current() == 0)
    return admission_decision::refuse;
  if (freeSlots() > 0 && Queued == 0) {
    ++Running;
    return admission_decision::run;
  }
  auto Ahead = static_cast<std::int64_t>(queuedAhead(Call.Class));
  microseconds Wait =
      Limit.serviceTime() * Ahead / static_cast<std::int64_t>(Limit.current());
  if (Now + Wait + Limit.serviceTime() > Call.Deadline)
    return admission_decision::refuse;
  if (Queued >= queueBound() && !evictFor(Call, Update))
    return admission_decision::refuse;
  push(Call);
  return admission_decision::wait;
}

bool admission::evictFor(const admission_request &Call,
                         admission_update &Update) {
  for (std::size_t Index = 0; Index < indexOf(Call.Class); ++Index)
    if (evictNewest(Queues[Index], nullptr, Update))
      return true;
  return evictNewest(Queues[indexOf(Call.Class)], &Call.Workspace, Update);
}

/// Evicts the newest call of the workspace with the longest queue. With
/// Requester, only if that workspace then still has at least as many waiting
/// calls as Requester, counting the new call.
bool admission::evictNewest(class_queue &Queue, const workspace_name *Requester,
                            admission_update &Update) {
  auto Longest =
      std::max_element(Queue.Workspaces.begin(), Queue.Workspaces.end(),
                       [](auto &Left, auto &Right) {
                         return Left.second.size() < Right.second.size();
                       });
  if (Longest == Queue.Workspaces.end())
    return false;
  if (Requester) {
    auto Own = Queue.Workspaces.find(*Requester);
    std::size_t OwnSize =
        Own == Queue.Workspaces.end() ? 0 : Own->second.size();
    if (Longest->second.size() <= OwnSize + 1)
      return false;
  }
  call_number Dropped = Longest->second.back().Call;
  abandon(Dropped);
  Update.Refused.push_back(Dropped);
  return true;
}

void admission::push(const admission_request &Call) {
  class_queue &Queue = Queues[indexOf(Call.Class)];
  auto [Position, Inserted] = Queue.Workspaces.try_emplace(Call.Workspace);
  if (Inserted)
    Queue.Turns.push_back(Call.Workspace);
  Position->second.push_back({Call.Call, Call.Deadline});
  ++Queue.Size;
  ++Queued;
}

admission::waiting_call admission::pop(class_queue &Queue) {
  workspace_name Workspace = std::move(Queue.Turns.front());
  Queue.Turns.pop_front();
  auto Position = Queue.Workspaces.find(Workspace);
  waiting_call Next = Position->second.front();
  Position->second.pop_front();
  if (Position->second.empty())
    Queue.Workspaces.erase(Position);
  else
    Queue.Turns.push_back(std::move(Workspace));
  --Queue.Size;
  --Queued;
  return Next;
}

admission::class_queue *admission::nextQueue() {
  class_queue *Highest = nullptr;
  class_queue *Lowest = nullptr;
  for (class_queue &Queue : Queues) {
    if (Queue.Size == 0)
      continue;
    Lowest = Lowest ? Lowest : &Queue;
    Highest = &Queue;
  }
  if (Highest == Lowest)
    return Highest;
  if (++StartsSinceLowest < LowestClassInterval)
    return Highest;
  StartsSinceLowest = 0;
  return Lowest;
}

void admission::startWaiting(instant Now, admission_update &Update) {
  while (freeSlots() > 0) {
    class_queue *Queue = nextQueue();
    if (!Queue)
      return;
    waiting_call Next = pop(*Queue);
    if (Next.Deadline <= Now + Limit.serviceTime() / 2) {
      Update.Refused.push_back(Next.Call);
      continue;
    }
    ++Running;
    Update.Started.push_back(Next.Call);
  }
}

admission_update admission::release(microseconds Duration, bool Overloaded,
                                    instant Now) {
  bool Saturated = Running >= Limit.current();
  Limit.callEnded(Duration, Overloaded, Saturated, Now);
  return releaseUnused(Now);
}

admission_update admission::releaseUnused(instant Now) {
  admission_update Update;
  if (Running > 0)
    --Running;
  startWaiting(Now, Update);
  return Update;
}

void admission::abandon(call_number Call) {
  for (class_queue &Queue : Queues)
    for (auto Position = Queue.Workspaces.begin();
         Position != Queue.Workspaces.end(); ++Position) {
      std::size_t Removed =
          std::erase_if(Position->second, [&](const waiting_call &Waiting) {
            return Waiting.Call == Call;
          });
      if (Removed == 0)
        continue;
      Queue.Size -= Removed;
      Queued -= Removed;
      if (Position->second.empty()) {
        std::erase(Queue.Turns, Position->first);
        Queue.Workspaces.erase(Position);
      }
      return;
    }
}

} // namespace chivebeam
