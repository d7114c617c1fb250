#include "routing/admission.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Waiting calls for each slot.
constexpr std::size_t QueuePerSlot = 4;
/// One start in so many goes to the lowest class that waits, so that no class
/// starves.
constexpr unsigned LowestClassTurn = 8;

std::size_t indexOf(work_class Class) {
  return static_cast<std::size_t>(Class);
}

} // namespace

std::size_t admission::queueBound() const {
  return Limit.current() * QueuePerSlot;
}

std::size_t admission::queuedBefore(work_class Class) const {
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

admission_change admission::setSlots(unsigned NewSlots, instant Now) {
  admission_change Change;
  Limit.setSlots(NewSlots);
  if (NewSlots == 0)
    refuseAll(Change);
  else
    startWaiting(Now, Change);
  return Change;
}

void admission::refuseAll(admission_change &Change) {
  for (class_queue &Queue : Queues)
    while (Queue.Size > 0)
      Change.Refused.push_back(pop(Queue).Call);
}

admission_answer admission::arrive(const arriving_call &Call, instant Now,
                                   admission_change &Change) {
  if (Call.Deadline <= Now || Limit.current() == 0)
    return admission_answer::refuse;
  if (freeSlots() > 0 && Queued == 0) {
    ++Running;
    return admission_answer::run;
  }
  auto Ahead = static_cast<std::int64_t>(queuedBefore(Call.Class));
  microseconds Wait =
      Limit.serviceTime() * Ahead / static_cast<std::int64_t>(Limit.current());
  if (Now + Wait + Limit.serviceTime() > Call.Deadline)
    return admission_answer::refuse;
  if (Queued >= queueBound() && !makeRoom(Call, Change))
    return admission_answer::refuse;
  push(Call);
  return admission_answer::wait;
}

bool admission::makeRoom(const arriving_call &Call, admission_change &Change) {
  for (std::size_t Index = 0; Index < indexOf(Call.Class); ++Index)
    if (dropNewest(Queues[Index], nullptr, Change))
      return true;
  return dropNewest(Queues[indexOf(Call.Class)], &Call.Tenant, Change);
}

/// Takes the newest call of the tenant with the longest queue. With Unless,
/// only if that tenant would still have at least as many waiting as Unless.
bool admission::dropNewest(class_queue &Queue, const workspace_name *Unless,
                           admission_change &Change) {
  auto Longest = std::max_element(
      Queue.Tenants.begin(), Queue.Tenants.end(), [](auto &Left, auto &Right) {
        return Left.second.size() < Right.second.size();
      });
  if (Longest == Queue.Tenants.end())
    return false;
  if (Unless) {
    auto Own = Queue.Tenants.find(*Unless);
    std::size_t OwnSize = Own == Queue.Tenants.end() ? 0 : Own->second.size();
    if (Longest->second.size() <= OwnSize + 1)
      return false;
  }
  call_number Dropped = Longest->second.back().Call;
  abandon(Dropped);
  Change.Refused.push_back(Dropped);
  return true;
}

void admission::push(const arriving_call &Call) {
  class_queue &Queue = Queues[indexOf(Call.Class)];
  auto [Position, Inserted] = Queue.Tenants.try_emplace(Call.Tenant);
  if (Inserted)
    Queue.Turns.push_back(Call.Tenant);
  Position->second.push_back({Call.Call, Call.Deadline});
  ++Queue.Size;
  ++Queued;
}

admission::waiting_call admission::pop(class_queue &Queue) {
  workspace_name Tenant = std::move(Queue.Turns.front());
  Queue.Turns.pop_front();
  auto Position = Queue.Tenants.find(Tenant);
  waiting_call Next = Position->second.front();
  Position->second.pop_front();
  if (Position->second.empty())
    Queue.Tenants.erase(Position);
  else
    Queue.Turns.push_back(std::move(Tenant));
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
  if (++StartsSinceLowest < LowestClassTurn)
    return Highest;
  StartsSinceLowest = 0;
  return Lowest;
}

void admission::startWaiting(instant Now, admission_change &Change) {
  while (freeSlots() > 0) {
    class_queue *Queue = nextQueue();
    if (!Queue)
      return;
    waiting_call Next = pop(*Queue);
    if (Next.Deadline <= Now + Limit.serviceTime() / 2) {
      Change.Refused.push_back(Next.Call);
      continue;
    }
    ++Running;
    Change.Started.push_back(Next.Call);
  }
}

admission_change admission::release(microseconds Duration, bool Overloaded,
                                    instant Now) {
  bool Saturated = Running >= Limit.current();
  Limit.callEnded(Duration, Overloaded, Saturated, Now);
  return releaseUnused(Now);
}

admission_change admission::releaseUnused(instant Now) {
  admission_change Change;
  if (Running > 0)
    --Running;
  startWaiting(Now, Change);
  return Change;
}

void admission::abandon(call_number Call) {
  for (class_queue &Queue : Queues)
    for (auto Position = Queue.Tenants.begin(); Position != Queue.Tenants.end();
         ++Position) {
      std::size_t Gone =
          std::erase_if(Position->second, [&](const waiting_call &Waiting) {
            return Waiting.Call == Call;
          });
      if (Gone == 0)
        continue;
      Queue.Size -= Gone;
      Queued -= Gone;
      if (Position->second.empty()) {
        std::erase(Queue.Turns, Position->first);
        Queue.Tenants.erase(Position);
      }
      return;
    }
}

} // namespace chivebeam
