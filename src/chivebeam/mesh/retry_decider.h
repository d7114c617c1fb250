#pragma once

#include "mesh/entry_call.h"
#include "mesh/mesh_state.h"
#include "routing/expected_latency_picker.h"
#include "routing/windowed_retry_budget.h"

namespace chivebeam {

/// Decides whether a call whose attempt failed, or whose home node is silent,
/// is sent to another backend server. Runs on one io_context; not thread safe.
class retry_decider {
public:
  /// \pre State, Picker and Budget outlive the decider.
  retry_decider(const mesh_state &State, const expected_latency_picker &Picker,
                windowed_retry_budget &Budget)
      : State(State), Picker(Picker), RetryBudget(Budget) {}

  /// Updates the call's history with the result of an attempt.
  void recordAttempt(entry_call &Entry, const mesh_answer &Answer,
                     instant Now) const;
  /// True if a call may be sent to another backend server. Uses the retry
  /// budget then.
  bool mayRetry(const entry_call &Entry, attempt_outcome Outcome, instant Now);
  /// True if a call whose home node is silent may be sent to another backend
  /// server. Otherwise it waits for the answer.
  bool mayMoveOn(const entry_call &Entry, instant Now);
  /// Returns the usual run time of the call; an assumed one before a call of
  /// its route is measured.
  microseconds usualTime(const entry_call &Entry, const endpoint &Endpoint,
                         instant Now) const;
  /// True if a home node is left that this call has not asked, and the call may
  /// ask one more.
  bool mayAskAnotherNode(const entry_call &Entry) const;

private:
  /// False if another attempt would fail as well, or would overload the
  /// services that the backend servers call.
  bool retryIsUseful(const entry_call &Entry, attempt_outcome Outcome,
                     instant Now) const;
  /// True if another attempt can end before the deadline.
  bool hasTimeForAttempt(const entry_call &Entry, instant Now) const;

  const mesh_state &State;
  const expected_latency_picker &Picker;
  windowed_retry_budget &RetryBudget;
};

} // namespace chivebeam
