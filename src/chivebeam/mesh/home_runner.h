#pragma once

#include <functional>
#include <unordered_map>
#include <unordered_set>

#include "membership/worker_report_filter.h"
#include "mesh/cancel_signal.h"
#include "mesh/one_shot.h"
#include "mesh/server_notices.h"
#include "mesh/worker_connection_pool.h"
#include "moves/evidence.h"
#include "net/clock.h"
#include "routing/answered_calls.h"
#include "routing/body_admission.h"
#include "routing/broken_calls.h"
#include "routing/fair_shares.h"
#include "routing/slot_queue.h"
#include "routing/stop_schedule.h"
#include "routing/suspect_listener.h"

namespace chivebeam {

/// Runs calls on the backend server beside this node. All calls to the backend
/// server go through it. Manages its slots, queues calls that must wait and
/// refuses calls that can't be served in time. Runs on one io_context; not
/// thread safe.
class home_runner {
public:
  using reply = std::function<void(mesh_answer)>;
  using leaving_handler = std::function<void(const worker_start &)>;
  /// Receives the decision on an offered body: empty if the body may be sent,
  /// otherwise the answer to the call, which was not run.
  using body_decision = std::function<void(std::optional<mesh_answer>)>;

  /// \pre Context, Protocol, Suspects and Answers outlive the runner.
  home_runner(asio::io_context &Context, const call_protocol &Protocol,
              suspect_listener &Suspects, body_budget &Answers,
              double LinkBytesPerSecond);

  /// Sets the handler that is called when a start of the backend server says in
  /// an answer that it leaves.
  void onServerLeaving(leaving_handler Handler) {
    OnServerLeaving = std::move(Handler);
  }
  /// Applies the newest report of the backend server beside this node.
  void updateWorker(const worker_report &Report);
  /// Sets whether the failure domain of this node is evacuated. While it is,
  /// all waiting and new calls are refused as not run.
  void setEvacuated(bool IsEvacuated);
  /// Sets the workspaces that share the backend server.
  void setWorkspaces(const std::map<workspace_name, workspace> &Workspaces) {
    Shares.setWorkspaces(Workspaces);
  }
  /// Sets what the backend server takes while it is cold.
  void setColdStart(const cold_start_limits &Limits);
  /// Applies when a report of the backend server says that its cold start ends.
  void coldStartReported(instant WarmAt);
  bool isServerCold() const { return Queue.coldStart().isCold(currentTime()); }
  /// Refuses from now on calls that would not end before this node does.
  void beginStop(const stop_schedule &Schedule) { Stop = Schedule; }
  /// Refuses all waiting and new calls as not run.
  void stop();

  /// Runs a call; Reply is called once. Cancel aborts an idempotent call. Any
  /// other call, once sent, runs to its end.
  void run(mesh_call Call, const cancel_signal &Cancel, reply Reply);

  /// Decides, at once or later, whether the body of a call may be sent to this
  /// node. Decide is called once, unless bodyEnded is called first.
  call_number offerBody(const mesh_call &Call, body_decision Decide);
  /// Ends an offer: its body has arrived, or its sender is gone.
  void bodyEnded(call_number Offer);
  /// Refuses waiting calls and bodies that can't be served in time any more.
  /// Must be called several times a second.
  void tick(instant Now);

  /// True if the call is running and was sent to a backend server before.
  bool isRunningRetry(const request_id &Id) const {
    return RunningRetries.contains(Id);
  }
  /// True if the backend server of the call takes calls.
  bool acceptsCall(const mesh_call &Call) const {
    return isForCurrentWorker(Call);
  }
  /// Returns the answer to a call that is not run.
  mesh_answer refusal(microseconds RetryAfter, std::string Reason) const;
  home_load load() const;
  /// Sets the refusal ratios and the used part of the retry budgets of the
  /// services that the backend server calls.
  void setDownstream(refusal_ratios Ratios, unsigned RetryBudgetPermille) {
    Downstream = std::move(Ratios);
    DownstreamRetryBudgetPermille = RetryBudgetPermille;
  }
  std::size_t active() const { return Active; }
  /// Returns the calls and failures counted for the current process of the
  /// backend server.
  const evidence_by_route &evidence() const { return Evidence; }
  const server_notices &notices() const { return Notices; }
  std::uint64_t connectionsOpened() const { return Connections.opened(); }
  /// Returns the calls that arrived beyond the share of their workspace.
  std::uint64_t callsBeyondShares() const { return CallsBeyondShares; }

private:
  /// A call with its slot request and its reply.
  struct job {
    mesh_call Call;
    cancel_signal Cancel;
    reply Reply;
    slot_request Slot;
  };
  using job_ptr = std::shared_ptr<job>;

  awaitable<void> serve(job_ptr Job);
  awaitable<bool> waitForSlot(job_ptr Job);
  awaitable<void> runOnWorker(job_ptr Job);
  /// Connects to the backend server after the server closed a call's
  /// connection; returns whether the server is gone.
  awaitable<bool> checkServerGone(worker_start Start);
  /// Checks whether the backend server ended under a call, after an exchange
  /// that ended with its connection. If so, an answer without a length may be
  /// cut, so it counts as lost.
  awaitable<void> checkServerEnd(const mesh_call &Call, worker_start Start,
                                 exchange_outcome End, mesh_answer &Answer);
  /// Remembers that a call was answered, and clears it if it is suspected.
  void recordAnswer(const mesh_call &Call, const mesh_answer &Answer);
  /// Called when this start of the backend server is known to be gone.
  void serverEnded(const worker_start &Start, instant Now);
  bool isForCurrentWorker(const mesh_call &Call) const;
  /// True if the call may not end before this node does.
  bool isTooLate(const mesh_call &Call, const slot_request &Slot,
                 instant Now) const;
  /// Returns why a call is not for the current backend server.
  std::string reasonNotForWorker() const;
  /// Called after the backend server, which may have ended, did not accept or
  /// closed a connection.
  void serverMayHaveEnded();
  /// Called when the backend server closed the connection of a call. It may
  /// have ended if several break together.
  void connectionBroke();
  void logColdStart(std::string_view Why, bool WasCold);
  /// Sets the slots for the state of the backend server and of this node.
  void updateSlots(instant Now);
  void finish(const job &Job, mesh_answer Answer);
  void refuse(const job &Job, std::string Reason);
  void decideOffer(const body_offer &Offer, body_decision Decide, instant Now);
  /// Refuses the offered bodies that are not decided yet.
  void endOffers(const std::string &Reason);
  slot_request slotRequest(const mesh_call &Call);
  void recordResult(const job &Job, const mesh_answer &Answer, instant Now);
  void apply(const slot_update &Change);
  /// Wakes up when the rate limit lets the next waiting call start.
  void scheduleStart();
  /// Applies the rate limit that the entry node of a call knows. A process that
  /// replaces an earlier one beside a running server has seen no answer yet.
  void applyKnownLimit(const mesh_call &Call, instant Now);
  /// Applies what the backend server says about itself in an answer to a call
  /// that was sent at SentAt.
  void applyNotice(const worker_start &Start, const server_notice &Notice,
                   instant SentAt, instant Now);
  void apply(const transfer_update &Change);

  static constexpr microseconds FailureHalfLife{2'000'000};

  asio::io_context &Context;
  const call_protocol &Protocol;
  suspect_listener &Suspects;
  leaving_handler OnServerLeaving = [](const worker_start &) {};
  std::optional<worker_report> Worker;
  std::optional<stop_schedule> Stop; ///< set once this node is to stop
  bool Stopping = false;             ///< no calls are taken any more
  bool Evacuated = false;
  slot_queue Queue;
  fair_shares Shares;
  std::uint64_t CallsBeyondShares = 0;
  server_notices Notices;
  asio::steady_timer StartTimer;
  body_admission Bodies;
  std::unordered_map<std::uint64_t, body_decision> UndecidedOffers;
  std::unordered_map<std::uint64_t, one_shot<bool>> SlotWaiters;
  worker_connection_pool Connections;
  broken_calls Broken;
  answered_calls Answered;
  decaying_ratio Failures{FailureHalfLife};
  evidence_by_route Evidence;
  refusal_ratios Downstream;
  unsigned DownstreamRetryBudgetPermille = 0;
  /// Running calls that were sent before.
  std::unordered_set<request_id> RunningRetries;
  std::uint64_t NextNumber = 0;
  std::size_t Active = 0;
  instant ConnectionBrokeAt;
};

} // namespace chivebeam
