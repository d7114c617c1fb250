#pragma once

#include <array>
#include <optional>

#include "base/units.h"
#include "routing/call_fingerprint.h"

namespace chivebeam {

/// Remembers when calls were last answered by a backend server. Holds a fixed
/// number of them: a later call may take the place of an earlier one. Not
/// thread safe.
class answered_calls {
public:
  /// Notes that a call was answered at Now. \pre Now never decreases
  void add(call_fingerprint Fingerprint, instant Now);
  /// Returns when the call was last answered; empty if it is not known.
  std::optional<instant> lastAnswer(call_fingerprint Fingerprint) const;

private:
  struct answered_call {
    call_fingerprint Fingerprint;
    instant At;
  };

  static constexpr std::size_t Places = 4'096;
  static std::size_t placeOf(call_fingerprint Fingerprint) {
    return static_cast<std::size_t>(Fingerprint.value() % Places);
  }

  std::array<answered_call, Places> Calls{};
};

} // namespace chivebeam
