#pragma once

#include <optional>

#include "limits/crowd_control.h"

namespace chivebeam {

/// Follows how fast a client takes the answers that its connection writes. Not
/// thread safe.
class answer_pace {
public:
  /// Notes that the client has taken TakenBytes in all since the connection
  /// began. Returns what it took since it last kept the rate of crowd_control:
  /// what its kernel took at first says nothing about later. Fewer bytes than
  /// before count as none. \pre Now does not fall between two calls
  transfer_progress observe(instant Now, std::uint64_t TakenBytes,
                            const door_limits &Limits);
  /// Forgets what was noted: no answer waits any more.
  void reset() { Mark.reset(); }

private:
  struct mark {
    instant At;
    std::uint64_t TakenBytes = 0;
  };
  std::optional<mark> Mark; ///< when the client last kept the rate
};

} // namespace chivebeam
