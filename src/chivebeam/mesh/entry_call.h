#pragma once

#include <functional>
#include <optional>
#include <set>

#include "config/api_key.h"
#include "mesh/silent_attempts.h"
#include "routing/hedge_policy.h"
#include "routing/retry_policy.h"

namespace chivebeam {

/// A second copy of a call from the decision to send it until its end.
struct open_copy {
  hedge_copy Copy;
  endpoint Target;
  std::optional<instant> SentAt; ///< empty before it is sent
};

/// A call with its routing decisions and attempts.
struct entry_call {
  fleet_view_ptr View;
  /// Expected run time before one is measured.
  microseconds AssumedDuration{0};
  api_key Key; ///< of the caller
  version_name Version;
  bool OnNewVersion = false;
  mesh_call Call;
  attempt_history History;
  std::set<node_id> Tried;
  /// Home nodes that had no free slot for this call. They are asked again once
  /// it may wait for a slot.
  std::set<node_id> Busy;
  bool MayWait = false; ///< for a slot
  microseconds RetryAfter{0};
  unsigned Attempts = 0;
  /// Home nodes that were asked and could be reached.
  unsigned HomeNodesAsked = 0;
  instant ArrivedAt;
  std::shared_ptr<silent_attempts> Silent;
  std::optional<open_copy> Copy;
  /// Ends what the call waits for, without a result; empty while it does not
  /// wait.
  std::function<void()> Abandon;
};

} // namespace chivebeam
