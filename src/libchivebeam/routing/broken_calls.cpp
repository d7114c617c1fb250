#include "routing/broken_calls.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// A backend server that is found gone later may have ended for another
/// reason. Longer than a server takes to start again.
constexpr seconds MaxConfirmTime{8};
/// A backend server ends work when its connection closes or the deadline that
/// it was told passes. One that ends later than this did not end under the
/// call.
constexpr seconds MaxGivenUpTime{1};
/// Bounds the memory. Servers run fewer calls at a time.
constexpr std::size_t MaxBrokenCalls = 1'024;

} // namespace

void broken_calls::note(const broken_call &Call, instant Now) {
  std::erase_if(Calls, [&](const broken_call &Noted) {
    return Now >= Noted.ConfirmUntil;
  });
  if (Call.Fingerprint.value() != 0 && Calls.size() < MaxBrokenCalls)
    Calls.push_back(Call);
}

void broken_calls::add(call_fingerprint Fingerprint, const worker_start &Start,
                       instant Now) {
  note({Fingerprint, Start, Now + MaxConfirmTime}, Now);
}

void broken_calls::addGivenUp(call_fingerprint Fingerprint,
                              const worker_start &Start, instant Now) {
  note({Fingerprint, Start, Now + MaxGivenUpTime}, Now);
}

std::vector<call_fingerprint> broken_calls::takeEnded(const worker_start &Start,
                                                      instant Now) {
  std::vector<call_fingerprint> Ended;
  for (const broken_call &Call : Calls)
    if (Call.Start == Start && Now < Call.ConfirmUntil)
      Ended.push_back(Call.Fingerprint);
  std::erase_if(Calls,
                [&](const broken_call &Call) { return Call.Start == Start; });
  std::sort(Ended.begin(), Ended.end());
  Ended.erase(std::unique(Ended.begin(), Ended.end()), Ended.end());
  return Ended;
}

} // namespace chivebeam
