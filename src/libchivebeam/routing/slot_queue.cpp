#include "routing/slot_queue.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// A call is refused when less than this percentage of its expected duration is
/// left until its deadline. Below 100, since half of the calls are faster than
/// the mean.
constexpr int MinTimeLeftPercent = 60;
/// Fraction of the slots that is assumed for outside calls, however many calls
/// are nested.
constexpr double MinOutsideFraction = 0.1;
/// Bounds the refusals at an entry node that are counted with one call.
constexpr unsigned MaxRefusedAtEntry = 100;
/// Bounds the memory for waiting calls.
constexpr std::size_t MaxWaitingPerSlot = 32;

bool erase(std::vector<slot_request> &Requests, call_number Call) {
  return std::erase_if(Requests, [&](const slot_request &Request) {
           return Request.Call == Call;
         }) > 0;
}

} // namespace

slot_update slot_queue::setSlots(unsigned NewSlots, instant Now) {
  slot_update Update;
  Slots = NewSlots;
  if (Slots > 0) {
    startWaiting(Update, Now);
    return Update;
  }
  for (const slot_request &Request : Waiting)
    Update.Refused.push_back(Request.Call);
  Waiting.clear();
  return Update;
}

slot_update slot_queue::setRateLimit(const std::optional<call_rate> &NewLimit,
                                     instant Now) {
  Rate.setLimit(NewLimit, Now);
  return startDue(Now);
}

bool slot_queue::hasPriorityOver(const slot_request &Left,
                                 const slot_request &Right) const {
  if (Left.Nested != Right.Nested)
    return Left.Nested;
  if (Left.Urgency != Right.Urgency)
    return Left.Urgency < Right.Urgency;
  return Left.Goal < Right.Goal;
}

microseconds slot_queue::expectedDuration(const slot_request &Request) const {
  return Request.UsualDuration.count() > 0 && !Times.hasSamples(Request.Route)
             ? Request.UsualDuration
             : Times.expected(Request.Route);
}

double slot_queue::slotsForOutsideCalls(instant Now) const {
  double Nested = NestedWork.perSecond(Now) / 1e6;
  return std::max(Slots - Nested, Slots * MinOutsideFraction);
}

microseconds slot_queue::expectedWait(const slot_request &Request,
                                      instant Now) const {
  return std::max(waitForSlot(Request, Now), waitForRate(Request, Now));
}

microseconds slot_queue::waitForRate(const slot_request &Request,
                                     instant Now) const {
  auto Ahead = std::count_if(Waiting.begin(), Waiting.end(),
                             [&](const slot_request &Other) {
                               return !hasPriorityOver(Request, Other);
                             });
  return timeUntilRate(static_cast<std::size_t>(Ahead) + 1, Now);
}

microseconds slot_queue::waitForSlot(const slot_request &Request,
                                     instant Now) const {
  if (Running < Slots && Waiting.empty())
    return microseconds(0);
  // With all slots busy, a slot becomes free once per mean duration divided by
  // the number of slots.
  microseconds Mean = Times.overall();
  auto Work = static_cast<double>(
      (Mean.count() > 0 ? Mean : expectedDuration(Request)).count());
  for (const slot_request &Other : Waiting)
    if (!hasPriorityOver(Request, Other))
      Work += static_cast<double>(expectedDuration(Other).count());
  // Nested calls that arrive later will go before an outside call.
  double AvailableSlots = Request.Nested ? Slots : slotsForOutsideCalls(Now);
  return microseconds(
      static_cast<std::int64_t>(Work / std::max(AvailableSlots, 0.1)));
}

bool slot_queue::cannotMeetDeadline(const slot_request &Request,
                                    instant Now) const {
  return Now + expectedDuration(Request) * MinTimeLeftPercent / 100 >
         Request.Deadline;
}

bool slot_queue::canAccept(const slot_request &Request, instant Now) const {
  if (Waiting.size() >= MaxWaitingPerSlot * std::max(Slots, 1U))
    return false;
  microseconds Wait = expectedWait(Request, Now);
  instant End = Now + Wait + expectedDuration(Request);
  if (End <= Request.Goal)
    return true;
  if (cannotMeetDeadline(Request, Now + Wait))
    return false;
  return Request.Nested ||
         static_cast<double>(Waiting.size()) < Slots * MaxLateCallsPerSlot;
}

bool slot_queue::wouldAccept(const slot_request &Request, instant Now) const {
  return hasFreeSlot(Now) ? !cannotMeetDeadline(Request, Now)
                          : Slots > 0 && canAccept(Request, Now);
}

slot_decision slot_queue::arrive(const slot_request &Request, instant Now) {
  if (hasFreeSlot(Now) && !cannotMeetDeadline(Request, Now)) {
    callStarted(Now);
    recordRefusal(Request, false, Now);
    return slot_decision::run;
  }
  bool Accepted = Slots > 0 && canAccept(Request, Now);
  recordRefusal(Request, !Accepted, Now);
  if (!Accepted)
    return slot_decision::refuse;
  auto Position = std::upper_bound(
      Waiting.begin(), Waiting.end(), Request,
      [this](const slot_request &Left, const slot_request &Right) {
        return hasPriorityOver(Left, Right);
      });
  Waiting.insert(Position, Request);
  return slot_decision::wait;
}

void slot_queue::recordRefusal(const slot_request &Request, bool Refused,
                               instant Now) {
  if (!Request.Nested && !Request.BeyondShare)
    Refusals.record(Request.Urgency, Refused, Now);
}

void slot_queue::recordRefusedAtEntry(unsigned Urgency, unsigned Calls,
                                      instant Now) {
  for (unsigned Call = 0; Call < std::min(Calls, MaxRefusedAtEntry); ++Call)
    Refusals.record(Urgency, true, Now);
}

slot_update slot_queue::release(const slot_request &Request,
                                microseconds Duration, instant Now) {
  Times.record(Request.Route, Duration);
  if (Request.Nested)
    NestedWork.add(static_cast<double>(Duration.count()), Now);
  return releaseUnused(Now);
}

slot_update slot_queue::releaseUnused(instant Now) {
  Running -= Running > 0 ? 1 : 0;
  return startDue(Now);
}

std::optional<microseconds> slot_queue::timeUntilStart(instant Now) const {
  if (Waiting.empty() || Running >= Slots)
    return std::nullopt;
  return timeUntilRate(1, Now);
}

slot_update slot_queue::startDue(instant Now) {
  slot_update Update = refuseUnservable(Now);
  startWaiting(Update, Now);
  return Update;
}

void slot_queue::abandon(call_number Call) { erase(Waiting, Call); }

slot_update slot_queue::refuseUnservable(instant Now) {
  slot_update Update;
  std::size_t Ahead = 0;
  std::erase_if(Waiting, [&](const slot_request &Request) {
    instant StartsAt = Now + timeUntilRate(Ahead + 1, Now);
    if (!cannotMeetDeadline(Request, StartsAt)) {
      ++Ahead;
      return false;
    }
    Update.Refused.push_back(Request.Call);
    recordRefusal(Request, true, Now);
    return true;
  });
  return Update;
}

void slot_queue::callStarted(instant Now) {
  ++Running;
  Rate.callStarted(Now);
  Cold.callStarted(Now);
}

void slot_queue::startWaiting(slot_update &Update, instant Now) {
  while (!Waiting.empty() && mayStart(Now)) {
    Update.Started.push_back(Waiting.front().Call);
    Waiting.erase(Waiting.begin());
    callStarted(Now);
  }
}

microseconds slot_queue::excessWait(const slot_request &Request,
                                    instant Now) const {
  instant End = Now + expectedWait(Request, Now) + expectedDuration(Request);
  return std::max(End - std::max(Request.Goal, Now), microseconds(0));
}

home_load slot_queue::load(instant Now) const {
  home_load Load;
  Load.Running = Running;
  Load.Waiting = static_cast<unsigned>(Waiting.size());
  Load.Limit = Slots;
  Load.StartInterval = std::max(Rate.interval(), Cold.interval(Now));
  Load.StartWait = timeUntilRate(Waiting.size() + 1, Now);
  Load.ServiceTime = Times.overall();
  Load.Refused = Refusals.ratios(Now);
  return Load;
}

} // namespace chivebeam
