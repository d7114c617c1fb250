#include "mesh/server_notices.h"

#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// Interval of the log lines on a backend server that names a rate limit.
constexpr milliseconds RateLogInterval{1'000};

double windowSeconds() {
  return std::chrono::duration<double>(sent_calls::Window).count();
}

} // namespace

void server_notices::serverStarted(const worker_start &Start) {
  Server = Start;
  Limit.reset();
  IsLeaving = false;
}

bool server_notices::answered(const worker_start &Start,
                              const server_notice &Notice, instant SentAt,
                              instant Now) {
  if (Start != Server)
    return false;
  if (Notice.IsLeaving && !std::exchange(IsLeaving, true))
    log_event("server_leaving_answer").add("worker", Server.Worker);
  if (Notice.IsRateLimitInvalid) {
    if (ChangeLogBudget.take(Now))
      log_event("server_limit_invalid")
          .add("worker", Server.Worker)
          .add("remedy", "let the server name one number, zero or more");
    return false;
  }
  bool Changed = Limit.answered(Notice, SentAt, Now);
  if (Changed)
    logLimit(Now);
  return Changed;
}

bool server_notices::limitSeenElsewhere(call_rate Rate, instant Now) {
  bool Changed = Limit.seenElsewhere(Rate);
  if (Changed)
    logLimit(Now);
  return Changed;
}

void server_notices::logLimit(instant Now) {
  if (!ChangeLogBudget.take(Now)) {
    ++OmittedLines;
    return;
  }
  log_event Line("server_limit");
  Line.add("worker", Server.Worker).add("limited", rateLimit().has_value());
  if (rateLimit())
    Line.add("per_s", rateLimit()->PerSecond);
  Line.add("sent_4s", Sent.inWindow(Now).All);
  if (std::uint64_t Omitted = std::exchange(OmittedLines, 0))
    Line.add("omitted_lines", Omitted);
}

void server_notices::tick(instant Now) {
  if (!rateLimit() || Now < LoggedAt + RateLogInterval)
    return;
  LoggedAt = Now;
  sent_calls::counts Counts = Sent.inWindow(Now);
  log_event("server_rate")
      .add("worker", Server.Worker)
      .add("per_s", rateLimit()->PerSecond)
      .add("sent_4s", Counts.All)
      .add("retries_4s", Counts.Retries)
      .add("limit_4s", rateLimit()->PerSecond * windowSeconds());
}

void server_notices::updateMetrics(mesh_metrics &Metrics, instant Now) const {
  sent_calls::counts Counts = Sent.inWindow(Now);
  Metrics.set("server_calls_sent", static_cast<double>(Sent.total()));
  Metrics.set("server_calls_sent_4s", Counts.All);
  Metrics.set("server_retries_sent_4s", Counts.Retries);
  Metrics.set("server_rate_limit", rateLimit() ? rateLimit()->PerSecond : -1);
  Metrics.set("server_rate_limit_4s",
              rateLimit() ? rateLimit()->PerSecond * windowSeconds() : -1);
  Metrics.set("server_leaving", IsLeaving ? 1 : 0);
}

} // namespace chivebeam
