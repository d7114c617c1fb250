#include "routing/server_limit_tracker.h"

namespace chivebeam {

bool server_limit_tracker::answered(const server_notice &Notice, instant SentAt,
                                    instant Now) {
  IsAnswered = true;
  if (Notice.IsRateLimitInvalid)
    return false;
  if (Notice.RateLimit)
    NamedAt = Now;
  else if (Limit && SentAt < NamedAt)
    return false;
  bool Changed = Limit != Notice.RateLimit;
  Limit = Notice.RateLimit;
  return Changed;
}

bool server_limit_tracker::seenElsewhere(call_rate Rate) {
  if (IsAnswered || Limit)
    return false;
  Limit = Rate;
  return true;
}

} // namespace chivebeam
