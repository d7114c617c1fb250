#pragma once

#include <functional>
#include <unordered_map>
#include <unordered_set>

#include "membership/worker_reports.h"
#include "mesh/cancel_signal.h"
#include "mesh/one_shot.h"
#include "mesh/worker_exchange.h"
#include "moves/evidence.h"
#include "routing/body_admission.h"
#include "routing/slot_queue.h"

namespace chivebeam {

/// Lets the backend server beside this node run calls: the only door to it.
/// Keeps its slots, queues what has to wait and refuses what can't be served.
/// Runs on one io_context; not thread safe.
class home_runner {
public:
  using reply = std::function<void(mesh_answer)>;
  /// Told what becomes of an offered body: empty: it may be sent; otherwise the
  /// answer to the call, which was not run.
  using body_decision = std::function<void(std::optional<mesh_answer>)>;

  /// \pre Context and Dialect outlive the runner.
  home_runner(asio::io_context &Context, const call_dialect &Dialect,
              double LinkBytesPerSecond);

  /// Tells which backend server is beside this node and what it said last.
  void follow(const worker_report &Report);
  /// Hands waiting calls back as not run and takes no more.
  void stop();

  /// Runs a call; Reply is called once. The signal breaks an idempotent call
  /// off; one that is not is left to end by itself once it was sent.
  void run(mesh_call Call, const cancel_signal &Cancel, reply Reply);

  /// Decides, now or later, whether the body of a call may be sent here. Decide
  /// is called once, unless bodyEnded is called first.
  call_number offerBody(const mesh_call &Call, body_decision Decide);
  /// The body has come, or its sender is gone.
  void bodyEnded(call_number Offer);
  /// Refuses calls and bodies that wait and can't be served in time any more.
  /// Called several times a second.
  void tick(instant Now);

  /// True if a call that runs now was sent to a backend server before.
  bool runsRepeat(const request_id &Id) const { return Repeats.contains(Id); }
  home_load load() const;
  /// Sets what is known of the services that the backend server calls.
  void setDownstream(refusal_ratios Shares, unsigned RepeatsPermille) {
    Downstream = std::move(Shares);
    DownstreamRetryBudgetPermille = RepeatsPermille;
  }
  std::size_t active() const { return Active; }
  /// Returns what this node has counted for its backend server so far.
  const evidence_by_route &evidence() const { return Evidence; }
  std::uint64_t connectionsOpened() const { return ConnectionsOpened; }

private:
  /// One call on its way through the runner.
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
  awaitable<std::shared_ptr<worker_connection>> connection(bool Idempotent);
  std::shared_ptr<worker_connection> takeIdle(microseconds MaxIdle);
  void keep(std::shared_ptr<worker_connection> Connection);
  bool isFor(const mesh_call &Call) const;
  void finish(const job &Job, mesh_answer Answer);
  void refuse(const job &Job, std::string Reason);
  void decideOffer(const body_offer &Offer, body_decision Decide, instant Now);
  slot_request slotRequest(const mesh_call &Call);
  mesh_answer refusal(microseconds Wait, std::string Reason) const;
  void noteEnd(const job &Job, const mesh_answer &Answer, instant Now);
  void apply(const slot_update &Change);
  void apply(const transfer_update &Change);

  static constexpr microseconds FailureHalfLife{2'000'000};

  asio::io_context &Context;
  const call_dialect &Dialect;
  std::optional<worker_report> Worker;
  bool Stopping = false;
  slot_queue Queue;
  body_admission Bodies;
  std::unordered_map<std::uint64_t, body_decision> Offered;
  std::unordered_map<std::uint64_t, one_shot<bool>> Waiting;
  std::vector<std::shared_ptr<worker_connection>>
      Idle; ///< used last at the end
  decaying_ratio Failures{FailureHalfLife};
  evidence_by_route Evidence;
  refusal_ratios Downstream;
  unsigned DownstreamRetryBudgetPermille = 0;
  std::unordered_set<request_id> Repeats; ///< of the calls that run now
  instant UnreachableUntil;
  std::uint64_t NextNumber = 0;
  std::uint64_t ConnectionsOpened = 0;
  std::size_t Active = 0;
};

} // namespace chivebeam
