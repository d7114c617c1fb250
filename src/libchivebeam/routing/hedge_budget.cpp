#include "routing/hedge_budget.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Copies that may be sent together after a time without any.
constexpr double MaxCopiesTogether = 5;

} // namespace

hedge_budget::part &hedge_budget::currentPart(instant Now) {
  std::int64_t Number =
      Now.time_since_epoch().count() / (Window.count() / PartCount);
  std::int64_t First = std::max(Newest + 1, Number - PartCount + 1);
  for (std::int64_t Stale = First; Stale <= Number; ++Stale)
    Parts[static_cast<std::size_t>(Stale % PartCount)] = part();
  Newest = std::max(Newest, Number);
  return Parts[static_cast<std::size_t>(Newest % PartCount)];
}

void hedge_budget::callStarted() {
  Copies = std::min(Copies + Percent / 100.0, MaxCopiesTogether);
}

void hedge_budget::recordWork(microseconds RunTime, instant Now) {
  currentPart(Now).Base += RunTime;
}

bool hedge_budget::mayTake(microseconds Expected, instant Now) {
  currentPart(Now); // drops outdated parts
  part Sum;
  for (const part &Part : Parts) {
    Sum.Base += Part.Base;
    Sum.Extra += Part.Extra;
  }
  return Copies >= 1 &&
         Sum.Extra + Reserved + Expected <= Sum.Base * Percent / 100;
}

void hedge_budget::take(microseconds Expected) {
  Copies -= 1;
  Reserved += Expected;
}

void hedge_budget::copyEnded(microseconds Expected, microseconds Took,
                             instant Now) {
  Reserved -= Expected;
  currentPart(Now).Extra += Took;
}

} // namespace chivebeam
