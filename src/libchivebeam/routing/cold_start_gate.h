#pragma once

#include <deque>

#include "base/token_bucket.h"

namespace chivebeam {

/// What one backend server takes during its cold start. A plain value.
struct cold_start_limits {
  double PerSecond = 0;      ///< calls a second; zero: no limit
  unsigned MaxPerSecond = 0; ///< in any second, also at the change to cold
  microseconds Duration{0};  ///< of a cold start; zero: unknown

  friend bool operator==(const cold_start_limits &,
                         const cold_start_limits &) = default;
};

/// Limits the calls that start at one backend server while it is cold, or may
/// be: after it may have ended, and until its state is known. Calls that
/// started shortly before count, too. Without a limit it allows every call. Not
/// thread safe.
class cold_start_gate {
public:
  /// Sets the limits of the server's service.
  void setLimits(const cold_start_limits &NewLimits, instant Now);
  /// Applies a report of the server: it is cold until this time. A report that
  /// it is warm is ignored shortly after it may have ended, since it may be
  /// older than that.
  void reported(instant WarmAt, instant Now);
  /// The state of the server is not known: assumes a cold start that begins
  /// now, until the next report.
  void assumeCold(instant Now);
  /// The server may have ended and come back: assumes a cold start.
  void mayHaveEnded(instant Now);
  /// Another start of the server is known; its reports are believed at once.
  void serverStarted(instant Now);

  bool isCold(instant Now) const {
    return Limits.PerSecond > 0 && Now < ColdUntil;
  }
  /// Returns the time until the given number of calls may have started.
  microseconds timeUntil(std::size_t Calls, instant Now) const;
  bool allows(instant Now) const { return timeUntil(1, Now).count() == 0; }
  /// Counts a call that starts.
  void callStarted(instant Now);
  /// Returns the mean time between two calls; zero: no limit.
  microseconds interval(instant Now) const;

private:
  void setColdUntil(instant Until, instant Now);
  void restartPace(instant Now);
  /// Returns when the calls that started in the last second leave room for one
  /// more call after Others.
  instant roomAfter(std::size_t Others) const;

  cold_start_limits Limits;
  instant ColdUntil;
  instant ReportsCountFrom;
  token_bucket Pace{1, 1, 0};
  /// The last calls that started, at most as many as may start in a second.
  std::deque<instant> Started;
};

} // namespace chivebeam
