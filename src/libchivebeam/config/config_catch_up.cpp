#include "config/config_catch_up.h"

#include <algorithm>

namespace chivebeam {

bool config_catch_up::heard(config_number Theirs, config_number Own,
                            instant Now) {
  Newest = std::max(Newest, Theirs);
  if (Newest <= Own) {
    BehindSince = instant();
    return false;
  }
  // A step forward shows that the store still brings configurations.
  if (BehindSince == instant() || OwnThen != Own) {
    BehindSince = Now;
    OwnThen = Own;
    AskedAt = instant();
    AnswerTime = FirstAnswerTime;
  }
  if (Theirs <= Own || (!CutOff && Now < BehindSince + Patience))
    return false;
  if (AskedAt != instant()) {
    if (Now < AskedAt + AnswerTime)
      return false;
    AnswerTime = std::min(AnswerTime * 2, LongestAnswerTime);
  }
  AskedAt = Now;
  return true;
}

} // namespace chivebeam
