#pragma once

#include "mesh/cancel_signal.h"
#include "mesh/mesh_call.h"
#include "mesh/one_shot.h"
#include "routing/fleet_view.h"

namespace chivebeam {

/// Attempts whose call was sent to another node as well, because the home node
/// fell silent or the call was hedged. Their answers may still come. Shared
/// with the replies of the attempts.
struct silent_attempts {
  explicit silent_attempts(const asio::any_io_executor &Executor)
      : FirstAnswer(Executor) {}
  void add(const cancel_signal &Cancel);
  /// Notes the late end of an attempt.
  void ended(const endpoint &Endpoint, mesh_answer Answer);
  void cancel();

  one_shot<mesh_answer> FirstAnswer;
  endpoint AnsweredBy;
  std::vector<cancel_signal> Cancels;
  std::size_t Open = 0;
  /// Called when one of the attempts is answered; null for none.
  std::function<void()> OnAnswered;
  /// Called at the end of each of the attempts; null for none.
  std::function<void(const endpoint &, const mesh_answer &)> OnEnded;
  bool AwaitsLast = false; ///< the call waits until the last attempt has ended
};

/// True if the backend server itself answered the call.
bool isServerAnswer(const mesh_answer &Answer);

} // namespace chivebeam
