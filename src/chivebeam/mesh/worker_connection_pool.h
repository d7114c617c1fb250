#pragma once

#include <functional>

#include "membership/home_record.h"
#include "mesh/worker_connection.h"

namespace chivebeam {

/// The connections to the backend server beside this node. Keeps idle ones for
/// later calls and notes whether the backend server can be reached. Runs on one
/// io_context; not thread safe.
class worker_connection_pool {
public:
  /// Called when a start of the backend server is found to be gone.
  using gone_handler = std::function<void(const worker_start &)>;

  /// \pre Answers outlives the pool and its connections.
  worker_connection_pool(body_budget &Answers, gone_handler OnGone)
      : Answers(Answers), OnGone(std::move(OnGone)) {}

  /// Sets the backend server; connections to another one are dropped.
  void setServer(const worker_start &Start, const address &At);
  /// Returns an idle connection that may carry the call, or a new one; null if
  /// the backend server can't be reached. \pre setServer was called.
  awaitable<std::shared_ptr<worker_connection>> acquire(const mesh_call &Call);
  /// Opens a connection; returns null if the backend server can't be reached.
  /// \pre setServer was called.
  awaitable<std::shared_ptr<worker_connection>> open();
  /// Keeps a connection for a later call if it may carry one.
  void giveBack(std::shared_ptr<worker_connection> Connection);

  /// True shortly after a connection to the backend server failed.
  bool isUnreachable(instant Now) const { return Now < UnreachableUntil; }
  /// True if nothing accepts connections in the place of this start of the
  /// backend server, or if another start has replaced it.
  bool isServerGone(const worker_start &Start) const {
    return Refused || Server != Start;
  }
  /// Returns the number of connections that were opened.
  std::uint64_t opened() const { return Opened; }

private:
  std::shared_ptr<worker_connection> takeIdle(const mesh_call &Call);

  body_budget &Answers;
  gone_handler OnGone;
  std::optional<worker_start> Server;
  address At;
  /// The most recently used is last.
  std::vector<std::shared_ptr<worker_connection>> Idle;
  bool Refused = false; ///< nothing accepts connections at its address
  instant UnreachableUntil;
  std::uint64_t Opened = 0;
};

} // namespace chivebeam
