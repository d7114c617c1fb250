#include "mesh/call_log.h"

#include "telemetry/log_event.h"

namespace chivebeam {

void call_log::attemptEnded(const entry_call &Entry, const endpoint &Endpoint,
                            const mesh_answer &Answer, next_step Step,
                            microseconds Took, const home_load *Load,
                            instant Now) {
  bool IsSuccessAtOnce = Step == next_step::deliver && Entry.Attempts == 1 &&
                         Answer.Outcome == attempt_outcome::answered;
  if (IsSuccessAtOnce && !SuccessBudget.take(Now)) {
    ++OmittedLines;
    return;
  }
  log_event Line("call");
  Line.add("request", Entry.Call.Id)
      .add("route", Entry.Call.Route)
      .add("service", Entry.Call.Service)
      .add("version", Entry.Version)
      .add("config", Entry.View->Config->number())
      .add("home", Endpoint.Node)
      .add("worker", Endpoint.Worker)
      .add("attempt", Entry.Attempts)
      .add("outcome", toString(Answer.Outcome))
      .add("status", Answer.Status)
      .add("took_us", Took.count())
      .add("left_us", (Entry.Call.Deadline - Now).count())
      .add("next", toString(Step));
  if (Load)
    Line.add("running", Load->Running)
        .add("waiting", Load->Waiting)
        .add("limit", Load->Limit);
  if (Answer.Outcome != attempt_outcome::answered)
    Line.add("fingerprint", toHex(Entry.Call.Fingerprint));
  if (!Answer.Reason.empty())
    Line.add("reason", Answer.Reason);
  if (std::uint64_t Omitted = std::exchange(OmittedLines, 0))
    Line.add("omitted_lines", Omitted);
}

} // namespace chivebeam
