#pragma once

#include <map>
#include <vector>

#include "membership/home_record.h"
#include "routing/call_fingerprint.h"

namespace chivebeam {

/// A backend server ended while it ran a call; or, if Start is empty, such a
/// call was answered by a backend server. A plain value.
struct suspect_event {
  call_fingerprint Fingerprint;
  worker_start Start;
  instant At;
};

/// Calls that ran when backend servers ended, from events of all nodes. A call
/// that ran at the ends of several servers is refused for a time. A call that
/// is answered is cleared of the ends before, since a crashing call never is.
/// Neither order nor repetition of the events matters. Bounded in number and
/// age. Not thread safe.
class crash_suspects {
public:
  /// Applies an event; returns whether it was new, so that other nodes may not
  /// know it.
  bool apply(const suspect_event &Event, instant Now);
  /// True if the call has run at the end of a server and was not answered
  /// since.
  bool isSuspect(call_fingerprint Fingerprint) const;
  /// False if a call whose server ended must not be sent to another one.
  bool mayRetry(call_fingerprint Fingerprint) const;
  /// Returns the time for which the call must not run; zero if it may.
  microseconds refusedFor(call_fingerprint Fingerprint, instant Now) const;
  /// Returns all events that are not outdated.
  std::vector<suspect_event> events(instant Now) const;

private:
  struct server_end {
    worker_start Start;
    instant At;
  };
  struct suspect {
    std::vector<server_end> Ends; ///< the newest ones
    instant AnsweredAt;
  };

  bool applyEnd(suspect &Suspect, const server_end &End);
  static bool applyAnswer(suspect &Suspect, instant At);
  static std::size_t countEnds(const suspect &Suspect);
  static instant lastEventOf(const suspect &Suspect);
  std::size_t endsOf(call_fingerprint Fingerprint) const;
  void removeOutdated(instant Now);
  /// Removes the suspect without events for the longest time that is not
  /// refused; returns false if there is none.
  bool makeRoom();

  std::map<call_fingerprint, suspect> Suspects;
};

} // namespace chivebeam
