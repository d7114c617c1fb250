#include "mesh/silent_attempts.h"

namespace chivebeam {

bool isServerAnswer(const mesh_answer &Answer) {
  return Answer.Outcome == attempt_outcome::answered ||
         Answer.Outcome == attempt_outcome::server_failed;
}

void silent_attempts::add(const cancel_signal &Cancel) {
  Cancels.push_back(Cancel);
  ++Open;
}

void silent_attempts::ended(const endpoint &Endpoint, mesh_answer Answer) {
  --Open;
  if (OnEnded)
    OnEnded(Endpoint, Answer);
  if (FirstAnswer.isSet() ||
      !(isServerAnswer(Answer) || (AwaitsLast && Open == 0)))
    return;
  AnsweredBy = Endpoint;
  bool IsAnswered = Answer.Outcome == attempt_outcome::answered;
  FirstAnswer.set(std::move(Answer));
  if (IsAnswered && OnAnswered)
    OnAnswered();
}

void silent_attempts::cancel() {
  for (const cancel_signal &Cancel : Cancels)
    Cancel.raise();
}

} // namespace chivebeam
