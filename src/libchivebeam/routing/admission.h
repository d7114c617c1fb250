#pragma once

#include <array>
#include <deque>
#include <map>
#include <vector>

#include "base/names.h"
#include "config/work_class.h"
#include "routing/adaptive_limit.h"
#include "routing/call_number.h"

namespace chivebeam {

/// A call that arrives at its home node.
struct admission_request {
  call_number Call;
  work_class Class = work_class::status;
  workspace_name Workspace; ///< empty if the caller named none
  instant Deadline;
};

enum class admission_decision {
  run,    ///< a slot was taken
  wait,   ///< queued; a later release starts or refuses it
  refuse, ///< not run: the queue is full or the deadline is too near
};

/// Waiting calls that were started or refused.
struct admission_update {
  std::vector<call_number> Started; ///< each holds a slot now
  std::vector<call_number> Refused; ///< never run
};

/// Enforces the slots of a backend server: at most Slots calls run, fewer if
/// adaptive_limit finds that the server handles less than it announced. Other
/// calls wait in a bounded queue: payments before uploads before status, and
/// round robin between the workspaces of a class. Calls that could not end
/// before their deadline are refused early. Not thread safe.
class admission {
public:
  explicit admission(unsigned Slots = 0) { Limit.setSlots(Slots); }

  /// Sets the number of slots; with none, every waiting call is refused.
  admission_update setSlots(unsigned NewSlots, instant Now);
  unsigned freeSlots() const {
    return Running < Limit.current() ? Limit.current() - Running : 0;
  }
  unsigned running() const { return Running; }
  std::size_t queued() const { return Queued; }
  unsigned limit() const { return Limit.current(); }
  /// Returns the estimated wait for a slot of a call that arrives now.
  microseconds expectedWait() const;

  /// Update receives the waiting calls that were evicted for this one.
  admission_decision arrive(const admission_request &Call, instant Now,
                            admission_update &Update);
  /// Frees the slot of a call that ran for Duration. Overloaded: the backend
  /// server itself refused the call.
  admission_update release(microseconds Duration, bool Overloaded, instant Now);
  /// Frees the slot of a call that was cancelled or never sent.
  admission_update releaseUnused(instant Now);
  /// Removes a waiting call that was cancelled or whose deadline has passed.
  void abandon(call_number Call);

private:
  struct waiting_call {
    call_number Call;
    instant Deadline;
  };
  /// Waiting calls of one class, in a queue for each workspace. The first
  /// workspace in Turns is served next.
  struct class_queue {
    std::map<workspace_name, std::deque<waiting_call>> Workspaces;
    std::deque<workspace_name> Turns;
    std::size_t Size = 0;
  };

  std::size_t queueBound() const;
  std::size_t queuedAhead(work_class Class) const;
  bool evictFor(const admission_request &Call, admission_update &Update);
  bool evictNewest(class_queue &Queue, const workspace_name *Requester,
                   admission_update &Update);
  void push(const admission_request &Call);
  waiting_call pop(class_queue &Queue);
  class_queue *nextQueue();
  void startWaiting(instant Now, admission_update &Update);
  void refuseAll(admission_update &Update);

  adaptive_limit Limit;
  unsigned Running = 0;
  std::size_t Queued = 0;
  unsigned StartsSinceLowest = 0;
  std::array<class_queue, WorkClassCount> Queues;
};

} // namespace chivebeam
