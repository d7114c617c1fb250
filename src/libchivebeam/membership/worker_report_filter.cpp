#include "membership/worker_report_filter.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// A backend server that has sent no report for this many report intervals may
/// be replaced by one whose start is earlier by its own clock.
constexpr int SilentReportIntervals = 3;
/// Sequence of the first report of each start of a backend server.
constexpr std::uint64_t FirstSequence = 1;
/// Reports may be delayed by some seconds; a report that arrives later than
/// this after a leave notice without a start belongs to a new start.
constexpr microseconds MaxReportDelay = seconds(10);

bool hasSameContent(const worker_report &Left, const worker_report &Right) {
  return Left.Worker.Service == Right.Worker.Service &&
         Left.Worker.Version == Right.Worker.Version &&
         Left.Worker.Slots == Right.Worker.Slots &&
         Left.Worker.State == Right.Worker.State && Left.At == Right.At;
}

} // namespace

std::string_view toString(report_effect Effect) {
  switch (Effect) {
  case report_effect::stale:
    return "stale";
  case report_effect::unchanged:
    return "unchanged";
  case report_effect::changed:
    return "changed";
  case report_effect::started:
    return "started";
  }
  return "stale";
}

bool worker_report_filter::isDelayedReportOfEarlierStart(
    const worker_report &Report, instant Now) {
  if (Report.Start.StartedAtMs >= Current->Start.StartedAtMs)
    return false;
  bool Silent = Now >= LastReport + Interval * SilentReportIntervals;
  bool Again = EarlierStartReport &&
               EarlierStartReport->Start == Report.Start &&
               Report.Sequence > EarlierStartReport->Sequence;
  EarlierStartReport = Report;
  return !Silent || !Again;
}

bool worker_report_filter::precedesLeaving(const worker_report &Report,
                                           instant Now) const {
  return Current && !StartKnown &&
         Current->Start.Worker == Report.Start.Worker &&
         Report.Sequence > FirstSequence && Now < LastReport + MaxReportDelay;
}

report_effect worker_report_filter::report(const worker_report &Report,
                                           instant Now) {
  if (precedesLeaving(Report, Now)) {
    // The report identifies the start that the leave notice did not name.
    Current->Start = Report.Start;
    Current->Sequence = Report.Sequence;
    StartKnown = true;
    return report_effect::stale;
  }
  if (Current && Current->Start == Report.Start) {
    if (Report.Sequence <= Current->Sequence ||
        (Current->Worker.State == worker_state::leaving &&
         Report.Worker.State == worker_state::ready))
      return report_effect::stale;
    bool Same = hasSameContent(Report, *Current);
    Current = Report;
    LastReport = Now;
    return Same ? report_effect::unchanged : report_effect::changed;
  }
  if (Current && isDelayedReportOfEarlierStart(Report, Now))
    return report_effect::stale;
  Current = Report;
  StartKnown = true;
  LastReport = Now;
  EarlierStartReport.reset();
  return report_effect::started;
}

report_effect
worker_report_filter::leave(const worker_id &Worker,
                            std::optional<std::int64_t> StartedAtMs,
                            instant Now) {
  if (!Current) {
    // Earlier reports went to a previous process of this node.
    restoreLeaving({Worker, StartedAtMs.value_or(0)}, 0, Now);
    return report_effect::changed;
  }
  if (Current->Start.Worker != Worker ||
      (StartedAtMs && *StartedAtMs != Current->Start.StartedAtMs))
    return report_effect::stale;
  if (Current->Worker.State == worker_state::leaving)
    return report_effect::unchanged;
  Current->Worker.State = worker_state::leaving;
  return report_effect::changed;
}

void worker_report_filter::restoreLeaving(const worker_start &Start,
                                          std::uint64_t Sequence, instant Now) {
  if (Current && Current->Start.StartedAtMs > Start.StartedAtMs)
    return;
  if (!Current || Current->Start != Start) {
    Current.emplace();
    Current->Start = Start;
  }
  StartKnown = Start.StartedAtMs != 0;
  LastReport = Now;
  Current->Sequence = std::max(Current->Sequence, Sequence);
  Current->Worker.State = worker_state::leaving;
}

} // namespace chivebeam
