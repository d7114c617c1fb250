#include "mesh/answer_queue.h"

#include <algorithm>

namespace chivebeam {

std::shared_ptr<pending_answer> answer_queue::nextToWrite() const {
  if (Answers.empty() || !Answers.front()->Ready)
    return nullptr;
  return Answers.front();
}

bool answer_queue::hasRoom() const {
  std::size_t HeldBytes = 0;
  for (const auto &Answer : Answers)
    if (Answer->Body)
      HeldBytes += Answer->Body->size();
  return Answers.size() < MaxAnswers && HeldBytes <= MaxHeldBytes;
}

bool answer_queue::mayStart(bool Idempotent) const {
  return Answers.empty() ||
         (Idempotent &&
          std::all_of(Answers.begin(), Answers.end(),
                      [](const auto &Answer) { return Answer->Idempotent; }));
}

void answer_queue::cancelCalls() const {
  // A call may end, and remove its answer, while it is cancelled.
  auto Cancelled = Answers;
  for (const auto &Answer : Cancelled)
    Answer->Cancel.raise();
}

} // namespace chivebeam
