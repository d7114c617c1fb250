#pragma once

#include "base/token_bucket.h"
#include "membership/home_record.h"
#include "mesh/mesh_metrics.h"
#include "routing/sent_calls.h"
#include "routing/server_limit_tracker.h"

namespace chivebeam {

/// Follows what the backend server beside this node says about itself in its
/// answers and how many calls it gets, and writes both to log and metrics. Runs
/// on one io_context; not thread safe.
class server_notices {
public:
  /// Called when another start of the backend server is known.
  void serverStarted(const worker_start &Start);
  /// Called when a call is sent to the backend server.
  void callSent(bool IsRetry, instant Now) { Sent.add(IsRetry, Now); }
  /// Returns the calls that were sent in the last four seconds.
  unsigned sentRecently(instant Now) const { return Sent.inWindow(Now).All; }
  /// Called with the notice in an answer of this start of the backend server,
  /// to a call that was sent at SentAt. Returns whether the rate limit changed.
  bool answered(const worker_start &Start, const server_notice &Notice,
                instant SentAt, instant Now);
  /// Called with the rate limit that an entry node knows. Returns whether the
  /// rate limit changed.
  bool limitSeenElsewhere(call_rate Rate, instant Now);
  const std::optional<call_rate> &rateLimit() const { return Limit.limit(); }
  /// Logs the calls that a backend server with a rate limit gets. Must be
  /// called several times a second.
  void tick(instant Now);
  /// Sets the gauges of the rate limit and of the calls that were sent.
  void updateMetrics(mesh_metrics &Metrics, instant Now) const;

private:
  void logLimit(instant Now);

  worker_start Server;
  server_limit_tracker Limit;
  bool IsLeaving = false;
  sent_calls Sent;
  instant LoggedAt;
  /// Limits the log lines about limits that change or can't be read.
  token_bucket ChangeLogBudget{ChangeLinesPerSecond, ChangeLinesBurst};
  std::uint64_t OmittedLines = 0;

  static constexpr double ChangeLinesPerSecond = 2;
  static constexpr double ChangeLinesBurst = 10;
};

} // namespace chivebeam
