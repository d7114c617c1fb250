#include "routing/broken_calls.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// A backend server that is found gone later may have ended for another
/// reason. Longer than a server takes to start again.
constexpr seconds MaxConfirmTime{8};
/// Bounds the memory. Servers run fewer calls at a time.
constexpr std::size_t MaxBrokenCalls = 1'024;

} // namespace

void broken_calls::add(call_fingerprint Fingerprint, const worker_start &Start,
                       instant Now) {
  std::erase_if(Calls, [&](const broken_call &Call) {
    return Now >= Call.At + MaxConfirmTime;
  });
  if (Fingerprint.value() != 0 && Calls.size() < MaxBrokenCalls)
    Calls.push_back({Fingerprint, Start, Now});
}

std::vector<call_fingerprint> broken_calls::takeEnded(const worker_start &Start,
                                                      instant Now) {
  std::vector<call_fingerprint> Ended;
  for (const broken_call &Call : Calls)
    if (Call.Start == Start && Now < Call.At + MaxConfirmTime)
      Ended.push_back(Call.Fingerprint);
  std::erase_if(Calls,
                [&](const broken_call &Call) { return Call.Start == Start; });
  std::sort(Ended.begin(), Ended.end());
  Ended.erase(std::unique(Ended.begin(), Ended.end()), Ended.end());
  return Ended;
}

} // namespace chivebeam
