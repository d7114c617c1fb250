#include "routing/answered_calls.h"

namespace chivebeam {

void answered_calls::add(call_fingerprint Fingerprint, instant Now) {
  if (Fingerprint.value() != 0)
    Calls[placeOf(Fingerprint)] = {Fingerprint, Now};
}

std::optional<instant>
answered_calls::lastAnswer(call_fingerprint Fingerprint) const {
  const answered_call &Call = Calls[placeOf(Fingerprint)];
  if (Fingerprint.value() == 0 || Call.Fingerprint != Fingerprint)
    return std::nullopt;
  return Call.At;
}

} // namespace chivebeam
