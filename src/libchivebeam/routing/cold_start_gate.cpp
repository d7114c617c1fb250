#include "routing/cold_start_gate.h"

#include <algorithm>

namespace chivebeam {

namespace {

constexpr microseconds Window = seconds(1);
/// Calls that the limit allows in this time may start together after a pause.
constexpr double BurstSeconds = 0.1;
/// Assumed duration of a cold start that the service does not name.
constexpr microseconds UsualColdStart = seconds(5);
/// A report may be delayed by this time.
constexpr microseconds MaxReportDelay = seconds(1);

} // namespace

void cold_start_gate::setLimits(const cold_start_limits &NewLimits,
                                instant Now) {
  if (NewLimits == Limits)
    return;
  Limits = NewLimits;
  restartPace(Now);
}

void cold_start_gate::restartPace(instant Now) {
  if (Limits.PerSecond <= 0)
    return;
  double Burst = std::max(1.0, Limits.PerSecond * BurstSeconds);
  // The server may just have had a call.
  Pace = token_bucket(Limits.PerSecond, Burst, 0);
  Pace.setRate(Limits.PerSecond, Now);
}

void cold_start_gate::setColdUntil(instant Until, instant Now) {
  if (!isCold(Now))
    restartPace(Now);
  ColdUntil = Until;
}

void cold_start_gate::reported(instant WarmAt, instant Now) {
  if (WarmAt <= Now && Now < ReportsCountFrom)
    return;
  setColdUntil(WarmAt, Now);
}

void cold_start_gate::assumeCold(instant Now) {
  microseconds Duration =
      Limits.Duration.count() > 0 ? Limits.Duration : UsualColdStart;
  setColdUntil(std::max(ColdUntil, Now + Duration), Now);
}

void cold_start_gate::mayHaveEnded(instant Now) {
  ReportsCountFrom = Now + MaxReportDelay;
  assumeCold(Now);
}

void cold_start_gate::serverStarted(instant Now) {
  ReportsCountFrom = instant();
  assumeCold(Now);
}

void cold_start_gate::callStarted(instant Now) {
  if (Limits.PerSecond <= 0)
    return;
  if (isCold(Now))
    Pace.reserve(Now);
  Started.push_back(Now);
  while (Started.size() > std::max(Limits.MaxPerSecond, 1U))
    Started.pop_front();
}

instant cold_start_gate::roomAfter(std::size_t Others) const {
  std::size_t Max = std::max(Limits.MaxPerSecond, 1U);
  std::size_t Later = std::min(Others, Max - 1);
  if (Started.size() + Later < Max)
    return {};
  return Started[Started.size() + Later - Max] + Window;
}

microseconds cold_start_gate::timeUntil(std::size_t Calls, instant Now) const {
  if (!isCold(Now))
    return microseconds(0);
  microseconds Paced = Pace.timeUntil(static_cast<double>(Calls), Now);
  microseconds Wait =
      std::max(Paced, roomAfter(std::max<std::size_t>(Calls, 1) - 1) - Now);
  return std::clamp(Wait, microseconds(0), ColdUntil - Now);
}

microseconds cold_start_gate::interval(instant Now) const {
  return isCold(Now)
             ? microseconds(static_cast<std::int64_t>(1e6 / Limits.PerSecond))
             : microseconds(0);
}

} // namespace chivebeam
