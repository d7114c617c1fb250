#pragma once

#include <map>
#include <vector>

#include "membership/home_record.h"
#include "routing/call_fingerprint.h"

namespace chivebeam {

/// A backend server ended while it ran a call; or, if Start is empty, such a
/// call was answered by a backend server, before or after that. A plain value.
struct suspect_event {
  call_fingerprint Fingerprint;
  worker_start Start;
  instant At;
};

/// Calls that ran when backend servers ended, from events of all nodes. A call
/// that ran at the ends of several servers is refused for a time. A call that
/// is answered is cleared of the ends before, since a crashing call never is.
/// If it was answered before the ends, servers that end together count once:
/// they ended for a reason that they share, such as a lost failure domain, and
/// a call that many callers send runs on all of them. Neither order nor
/// repetition of the events matters. Bounded in number and age. Not thread
/// safe.
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

  static bool applyEnd(suspect &Suspect, const server_end &End);
  static bool applyAnswer(suspect &Suspect, instant At);
  /// Counts the ends since the last answer.
  static std::size_t countEnds(const suspect &Suspect);
  /// True if the call was answered not long before this time.
  static bool wasAnswered(const suspect &Suspect, instant Before);
  static instant lastEventOf(const suspect &Suspect);
  std::size_t endsOf(call_fingerprint Fingerprint) const;
  void removeOutdated(instant Now);
  /// Removes the suspect without events for the longest time that is not
  /// refused; returns false if there is none.
  bool makeRoom();

  std::map<call_fingerprint, suspect> Suspects;
};

} // namespace chivebeam
