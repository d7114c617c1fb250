#include "membership/watcher_reliance.h"

namespace chivebeam {

microseconds watcher_reliance::below(microseconds Limit) {
  return microseconds(Random.below(static_cast<std::uint64_t>(Limit.count())));
}

bool watcher_reliance::readsStore(instant WatcherReadAt, instant Now) {
  // A process that replaces an earlier one reads at once, so that it serves
  // soon.
  if (ReadFrom == instant())
    ReadFrom = FirstStart ? Now + ElectionTime + below(ElectionTime) : Now;
  bool Current = WatcherReadAt != instant() && Now < WatcherReadAt + MaxReadAge;
  if (!Current) {
    CurrentSince = instant();
    Reading = Reading || Now >= ReadFrom;
    return Reading;
  }
  if (CurrentSince == instant())
    CurrentSince = Now;
  if (Now >= CurrentSince + MinCurrentTime)
    Reading = false;
  if (!Reading)
    ReadFrom = WatcherReadAt + MaxReadAge + below(MaxReadDelay);
  return Reading;
}

} // namespace chivebeam
