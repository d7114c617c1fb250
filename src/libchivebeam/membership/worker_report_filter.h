#pragma once

#include <optional>
#include <string_view>

#include "membership/home_record.h"

namespace chivebeam {

/// One report of a backend server to the node beside it.
struct worker_report {
  worker_start Start;
  std::uint64_t Sequence = 0; ///< raised with each report of one start
  worker_record Worker;       ///< ReadySince: when its cold start is over
  address At;                 ///< where it takes calls
};

/// What a report changed.
enum class report_effect {
  stale,     ///< older than what is known; passed over
  unchanged, ///< confirms what is known
  changed,   ///< the backend server's state or data differ now
  started,   ///< another start of a backend server
};

std::string_view toString(report_effect Effect);

/// Orders the reports of the backend servers beside one node. A late report
/// never revives a backend server that has said that it leaves. Not thread
/// safe.
class worker_report_filter {
public:
  explicit worker_report_filter(microseconds Interval) : Interval(Interval) {}

  report_effect report(const worker_report &Report, instant Now);
  /// The backend server says that it leaves for good. StartedAtMs is absent if
  /// the word does not name the start.
  report_effect leave(const worker_id &Worker,
                      std::optional<std::int64_t> StartedAtMs, instant Now);
  /// Takes over what an earlier process beside this backend server knew.
  void restoreLeaving(const worker_start &Start, std::uint64_t Sequence,
                      instant Now);

  /// Returns the newest report; empty before the first.
  const std::optional<worker_report> &current() const { return Current; }

private:
  /// True for a report that was sent before its backend server said that it
  /// leaves, when that word did not name the start.
  bool precedesLeaving(const worker_report &Report, instant Now) const;
  bool isDelayedReportOfEarlierStart(const worker_report &Report, instant Now);

  microseconds Interval;
  std::optional<worker_report> Current;
  bool StartKnown = true; ///< false after a word of leaving without a start
  instant LastReport;
  /// A start that claims to be older than the current one, while that one is
  /// silent; believed at its second report.
  std::optional<worker_report> EarlierStartReport;
};

} // namespace chivebeam
