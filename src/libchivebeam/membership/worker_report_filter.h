#pragma once

#include <optional>
#include <string_view>

#include "membership/home_record.h"

namespace chivebeam {

/// One report of a backend server to the node beside it.
struct worker_report {
  worker_start Start;
  std::uint64_t Sequence = 0; ///< increases with each report of one start
  worker_record Worker;       ///< ReadySince: end of its cold start
  address At;                 ///< where it accepts calls
};

/// Result of a report or leave notice.
enum class report_effect {
  stale,     ///< older than the known state; ignored
  unchanged, ///< confirms the known state
  changed,   ///< the state or data of the backend server changed
  started,   ///< another start of a backend server
};

std::string_view toString(report_effect Effect);

/// Filters delayed and outdated reports of the backend servers beside one node.
/// After a backend server has announced that it leaves, no delayed report of
/// the same start makes it ready again. Not thread safe.
class worker_report_filter {
public:
  /// Interval is the time between the reports of a backend server.
  explicit worker_report_filter(microseconds Interval) : Interval(Interval) {}

  /// Processes a report that arrives at Now.
  report_effect report(const worker_report &Report, instant Now);
  /// Processes a notice that the backend server leaves for good. StartedAtMs is
  /// absent if the notice does not name the start.
  report_effect leave(const worker_id &Worker,
                      std::optional<std::int64_t> StartedAtMs, instant Now);
  /// Restores a leave notice that an earlier process of this node received.
  void restoreLeaving(const worker_start &Start, std::uint64_t Sequence,
                      instant Now);

  /// Returns the newest report; empty before the first report or leave notice.
  const std::optional<worker_report> &current() const { return Current; }

private:
  /// True for a report that was sent before the leave notice of its backend
  /// server, if that notice did not name the start.
  bool precedesLeaving(const worker_report &Report, instant Now) const;
  bool isDelayedReportOfEarlierStart(const worker_report &Report, instant Now);

  microseconds Interval;
  std::optional<worker_report> Current;
  bool StartKnown = true; ///< false after a leave notice without a start
  instant LastReport;
  /// Latest report of a start that is earlier than the current one by its
  /// clock. It replaces the current start at its second report if the current
  /// one is silent.
  std::optional<worker_report> EarlierStartReport;
};

} // namespace chivebeam
