#pragma once

#include "base/units.h"
#include "routing/server_notice.h"

namespace chivebeam {

/// Decides which rate limit of a backend server is in force, from its answers.
/// The newest answer counts. An answer without a limit ends one only if its
/// call was sent after an answer with the limit arrived: the answers of calls
/// that ran at the same time may have overtaken each other. Not thread safe.
class server_limit_tracker {
public:
  /// Applies the notice in an answer that arrives at Now, to a call that was
  /// sent at SentAt. Returns whether the limit changed.
  bool answered(const server_notice &Notice, instant SentAt, instant Now);
  /// Applies a limit that an entry node saw in an earlier answer. It counts
  /// until the first answer arrives here. Returns whether the limit changed.
  bool seenElsewhere(call_rate Rate);
  /// Forgets the limit, since another process of the backend server runs.
  void reset() { *this = server_limit_tracker(); }
  /// Returns the limit in force; empty if there is none.
  const std::optional<call_rate> &limit() const { return Limit; }

private:
  std::optional<call_rate> Limit;
  bool IsAnswered = false; ///< an answer has arrived
  instant NamedAt;         ///< arrival of the last answer with a limit
};

} // namespace chivebeam
