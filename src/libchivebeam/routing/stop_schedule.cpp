#include "routing/stop_schedule.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Two checks of the readiness, and the time in which the second one is read.
constexpr milliseconds CallerDrainTime{2'800};
constexpr int RunGraceParts = 10;
constexpr int AnswerGraceParts = 11;
constexpr int GraceParts = 12;
/// Calls often take somewhat longer than they usually do.
constexpr int UsualTimePercent = 150;

} // namespace

stop_schedule::stop_schedule(instant Started, microseconds Grace)
    : RunUntil(Started + Grace * RunGraceParts / GraceParts),
      AnswerUntil(Started + Grace * AnswerGraceParts / GraceParts) {
  CallersGoneAt = std::min<instant>(Started + CallerDrainTime, RunUntil);
}

bool stop_schedule::mayStart(instant Deadline, microseconds UsualTime,
                             instant Now) const {
  return Deadline <= AnswerUntil ||
         Now + UsualTime * UsualTimePercent / 100 <= RunUntil;
}

} // namespace chivebeam
