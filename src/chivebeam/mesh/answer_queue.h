#pragma once

#include <deque>
#include <memory>

#include "mesh/pending_answer.h"

namespace chivebeam {

/// The unwritten answers of one connection, in the order of their requests.
/// Decides when a request that was sent ahead is read and when it starts. Not
/// thread safe.
class answer_queue {
public:
  /// Answers beyond this number or these bytes stop the reading of requests.
  static constexpr std::size_t MaxAnswers = 8;
  static constexpr std::size_t MaxHeldBytes = 256 << 10;

  /// Adds the answer to the request that was read last.
  void add(std::shared_ptr<pending_answer> Answer) {
    Answers.push_back(std::move(Answer));
  }
  bool isEmpty() const { return Answers.empty(); }
  /// True if only one answer is left.
  bool isLast() const { return Answers.size() == 1; }
  /// Returns the answer to write next; null if it is not ready.
  std::shared_ptr<pending_answer> nextToWrite() const;
  /// Removes the first answer. \pre not empty
  void removeFirst() { Answers.pop_front(); }
  /// True if another request may be read.
  bool hasRoom() const;
  /// True if a call may start before the answers in the queue are written: it
  /// and all of theirs are idempotent, so that each may be sent again if the
  /// connection ends.
  bool mayStart(bool Idempotent) const;
  /// Cancels the calls of all answers.
  void cancelCalls() const;

private:
  std::deque<std::shared_ptr<pending_answer>> Answers;
};

} // namespace chivebeam
