#pragma once

#include <vector>

#include "routing/call_number.h"
#include "routing/decaying_rate.h"
#include "routing/decaying_ratio.h"
#include "routing/home_load.h"
#include "routing/service_times.h"

namespace chivebeam {

/// A call as it asks for a slot of the backend server.
struct slot_request {
  call_number Call;
  route_name Route;
  unsigned Urgency = 0; ///< 0 is the most urgent
  bool Nested = false;  ///< made by a backend server that runs another call
  instant Goal;         ///< an answer until then is worth most
  instant Deadline;     ///< an answer after it is worth nothing
  microseconds UsualDuration{
      0}; ///< such calls take so long elsewhere; zero: unknown
};

enum class slot_decision {
  run,    ///< a slot was taken
  wait,   ///< queued; a later change starts or refuses it
  refuse, ///< can't be served in time
};

/// What became of calls that waited.
struct slot_update {
  std::vector<call_number> Started; ///< each holds a slot now
  std::vector<call_number> Refused; ///< never run
};

/// Keeps the slots of one backend server exactly and decides who waits. Calls
/// that another call waits for go first, since their caller holds a slot
/// elsewhere; then the more urgent; then the earlier goal. A call that can't
/// be answered before its deadline is refused at once, also while it waits.
/// Calls that would miss their goal are taken only while few others wait, so
/// that a queue doesn't make every call late. Not thread safe.
class slot_queue {
public:
  /// Changes the slots; with none, every waiting call is refused.
  slot_update setSlots(unsigned NewSlots);
  unsigned limit() const { return Slots; }
  unsigned running() const { return Running; }
  std::size_t waiting() const { return Waiting.size(); }

  slot_decision arrive(const slot_request &Request, instant Now);
  /// Returns whether the call would be taken if it arrived now.
  bool wouldAccept(const slot_request &Request, instant Now) const;
  /// Returns the time that the call would wait and run.
  microseconds expectedLatency(const slot_request &Request, instant Now) const {
    return expectedWait(Request, Now) + expectedDuration(Request);
  }
  /// Frees the slot of a call that ran for Duration.
  slot_update release(const slot_request &Request, microseconds Duration,
                      instant Now);
  /// Frees the slot of a call that was never sent or was broken off.
  slot_update releaseUnused(instant Now);
  /// Removes a waiting call whose caller went away.
  void abandon(call_number Call);
  /// Counts calls that entry nodes refused without asking.
  void recordRefusedAtEntry(unsigned Urgency, unsigned Calls, instant Now);
  /// Refuses waiting calls that can't be served in time any more.
  slot_update refuseUnservable(instant Now);

  /// Returns by how much the queue is too long for the call to meet its goal:
  /// the time after which there may be room, if no more calls came.
  microseconds excessWait(const slot_request &Request, instant Now) const;
  /// Counts, times and refusals; the rest is left at zero.
  home_load load(instant Now) const;
  /// Another backend server took the place of the one that was measured.
  void resetServiceTimes() { Times.reset(); }

private:
  /// Returns how long the call will run: as calls of its route ran here, or
  /// before the first of them, elsewhere.
  microseconds expectedDuration(const slot_request &Request) const;
  /// Slots that nested calls leave to the others.
  double slotsForOutsideCalls(instant Now) const;
  bool hasPriorityOver(const slot_request &Left,
                       const slot_request &Right) const;
  microseconds expectedWait(const slot_request &Request, instant Now) const;
  bool cannotMeetDeadline(const slot_request &Request, instant Now) const;
  bool canAccept(const slot_request &Request, instant Now) const;
  void startWaiting(slot_update &Change);
  void recordRefusal(const slot_request &Request, bool Refused, instant Now);

  unsigned Slots = 0;
  unsigned Running = 0;
  std::vector<slot_request> Waiting;
  service_times Times;
  decaying_rate NestedWork{LoadHalfLife};
  refusal_counter Refusals{LoadHalfLife};

  static constexpr microseconds LoadHalfLife{500'000};
};

} // namespace chivebeam
