#pragma once

#include <algorithm>
#include <vector>

#include "routing/call_number.h"
#include "routing/cold_start_gate.h"
#include "routing/decaying_rate.h"
#include "routing/decaying_ratio.h"
#include "routing/home_load.h"
#include "routing/service_times.h"
#include "routing/start_rate_limiter.h"

namespace chivebeam {

/// A call that requests a slot of the backend server.
struct slot_request {
  call_number Call;
  route_name Route;
  unsigned Urgency = 0; ///< 0 is the most urgent; see rankOf
  bool Nested = false;  ///< made by a backend server while it runs another call
  instant Goal;         ///< answers after it are worth less
  instant Deadline;     ///< answers after it are useless
  microseconds UsualDuration{0}; ///< of such calls elsewhere; zero: unknown
  /// True if its workspace has sent more than its share. A refusal of the call
  /// tells nothing about other calls, so it is not counted.
  bool BeyondShare = false;
};

enum class slot_decision {
  run,    ///< a slot was taken
  wait,   ///< queued; a later slot_update starts or refuses it
  refuse, ///< it would end too late
};

/// Waiting calls that were started or refused.
struct slot_update {
  std::vector<call_number> Started; ///< each holds a slot now
  std::vector<call_number> Refused; ///< never run
};

/// Enforces the slots and the rate limits of one backend server and orders the
/// waiting calls. A call starts only if a slot is free and the limit that the
/// server names, and that of its cold start, allow it.
/// Nested calls go first, since their caller holds a slot elsewhere; then the
/// more urgent calls; then those with the earlier goal. A call that cannot be
/// answered before its deadline is refused at once, also while it waits. Calls
/// that would miss their goal are accepted only while few others wait, so that
/// the queue does not delay every call. Not thread safe.
class slot_queue {
public:
  /// Sets the number of slots; with none, every waiting call is refused.
  slot_update setSlots(unsigned NewSlots, instant Now);
  /// Sets the rate at which calls may start; empty: no limit.
  slot_update setRateLimit(const std::optional<call_rate> &NewLimit,
                           instant Now);
  /// Returns the limit while the server is cold. After a change of it, startDue
  /// starts the calls that it lets start.
  cold_start_gate &coldStart() { return Cold; }
  const cold_start_gate &coldStart() const { return Cold; }
  unsigned limit() const { return Slots; }
  unsigned running() const { return Running; }
  std::size_t waiting() const { return Waiting.size(); }

  slot_decision arrive(const slot_request &Request, instant Now);
  /// Returns whether a call that arrives now need not wait.
  bool hasFreeSlot(instant Now) const {
    return mayStart(Now) && Waiting.empty();
  }
  /// Returns whether the call would be accepted if it arrived now.
  bool wouldAccept(const slot_request &Request, instant Now) const;
  /// Returns the time that the call would wait and run.
  microseconds expectedLatency(const slot_request &Request, instant Now) const {
    return expectedWait(Request, Now) + expectedDuration(Request);
  }
  /// Frees the slot of a call that ran for Duration.
  slot_update release(const slot_request &Request, microseconds Duration,
                      instant Now);
  /// Frees the slot of a call that was never sent or was cancelled.
  slot_update releaseUnused(instant Now);
  /// Removes a waiting call that was cancelled.
  void abandon(call_number Call);
  /// Counts calls that entry nodes refused without asking this node.
  void recordRefusedAtEntry(unsigned Urgency, unsigned Calls, instant Now);
  /// Refuses waiting calls that can no longer meet their deadline.
  slot_update refuseUnservable(instant Now);
  /// Returns the time until a waiting call may start by the rate limit; empty
  /// if none waits for it.
  std::optional<microseconds> timeUntilStart(instant Now) const;
  /// Starts the waiting calls that may start now.
  slot_update startDue(instant Now);

  /// Returns by how much the call would miss its goal in the current queue: the
  /// time after which there may be capacity, if no more calls arrived.
  microseconds excessWait(const slot_request &Request, instant Now) const;
  /// Returns the load with its counts, service time and refusal ratios; the
  /// other fields stay zero.
  home_load load(instant Now) const;
  /// Call when another backend server has replaced the measured one.
  void resetServiceTimes() { Times.reset(); }

private:
  /// Returns how long the call will run: the mean of its route here, or before
  /// the first call of the route, the duration elsewhere if it is known.
  microseconds expectedDuration(const slot_request &Request) const;
  /// Returns the slots that nested calls leave to outside calls.
  double slotsForOutsideCalls(instant Now) const;
  bool hasPriorityOver(const slot_request &Left,
                       const slot_request &Right) const;
  microseconds expectedWait(const slot_request &Request, instant Now) const;
  microseconds waitForSlot(const slot_request &Request, instant Now) const;
  microseconds waitForRate(const slot_request &Request, instant Now) const;
  bool mayStart(instant Now) const {
    return Running < Slots && timeUntilRate(1, Now).count() == 0;
  }
  /// Returns the time until the rate limits let this number of calls start.
  microseconds timeUntilRate(std::size_t Calls, instant Now) const {
    return std::max(Rate.timeUntil(Calls, Now), Cold.timeUntil(Calls, Now));
  }
  void callStarted(instant Now);
  bool cannotMeetDeadline(const slot_request &Request, instant Now) const;
  bool canAccept(const slot_request &Request, instant Now) const;
  void startWaiting(slot_update &Update, instant Now);
  void recordRefusal(const slot_request &Request, bool Refused, instant Now);

  unsigned Slots = 0;
  unsigned Running = 0;
  start_rate_limiter Rate;
  cold_start_gate Cold;
  std::vector<slot_request> Waiting; ///< the next one to start first
  service_times Times;
  decaying_rate NestedWork{LoadHalfLife};
  refusal_counter Refusals{LoadHalfLife};

  static constexpr microseconds LoadHalfLife{500'000};
};

} // namespace chivebeam
