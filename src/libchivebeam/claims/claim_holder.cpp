#include "claims/claim_holder.h"

namespace chivebeam {

holder_step decideHolderStep(const std::optional<claim_answer> &Answer,
                             const holder_times &Times, instant Now) {
  bool Final = Answer && Answer->Verdict != claim_verdict::not_owner;
  if (!Final)
    return Now < Times.RetryUntil ? holder_step::retry : holder_step::refuse;
  if (Answer->Verdict == claim_verdict::granted && Now < Times.Deadline)
    return holder_step::run;
  return holder_step::refuse;
}

} // namespace chivebeam
