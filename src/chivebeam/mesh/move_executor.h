#pragma once

#include <map>

#include "mesh/mesh_records.h"
#include "mesh/mesh_state.h"
#include "mesh/peer_hub.h"
#include "moves/order_coordinator.h"
#include "store/config_store.h"

namespace chivebeam {

/// Carries out the operator's orders to move services to other versions. One
/// of the watchers, named by a key in the store, coordinates all moves; the
/// other nodes send it evidence on the calls of their backend servers. The
/// coordinator sends each decision to all nodes at once and writes it to the
/// store. Runs on one io_context; not thread safe.
class move_executor {
public:
  /// \pre all arguments outlive the executor.
  move_executor(asio::io_context &Context, config_store &Store,
                const mesh_settings &Settings,
                const operator_document_format &DocumentFormat,
                mesh_state &State, peer_hub &Hub);

  /// Applies an order that was read from the store.
  void applyOrder(const move_order &Order, store_revision KeyRevision);
  void applyMove(const service_move &Move, store_revision KeyRevision);
  void setCoordinator(const node_id &Node);
  void clearCoordinator() { setCoordinator(node_id()); }
  void handleEvidence(const evidence_report &Report);
  /// True if an order has no verdict yet, or the store lacks it.
  bool hasOpenMoves() const;
  /// Forgets the revisions of an earlier era of the store. Verdicts that the
  /// store may have lost are written again; the operator's orders, which are
  /// written again, are recognized.
  void forgetStore(store_era Era);

  /// Gives up coordination for good, so that another node takes over. Called
  /// when this node stops.
  void resign();

  /// Decides the next steps of all open moves. Called several times a second.
  void tick(instant Now);
  /// Sends this node's call counts to the coordinator if a move of the service
  /// is in progress.
  void sendEvidence(const service_name &Service, const version_name &Version,
                    const evidence_by_route &Evidence);

private:
  struct ordered_move {
    move_order Order;
    store_era Era;                   ///< of KeyRevision
    store_revision KeyRevision;      ///< of the order
    std::uint64_t Number = 0;        ///< of the order
    store_revision MoveKeyRevision;  ///< of the move; zero: no key
    std::vector<move_order> Earlier; ///< replaced by Order
    bool WritePending = false;       ///< a write to the store is in progress
    bool StartReported = false;      ///< the status key says "running"
    /// The store came back from an older copy, which may lack the verdict.
    bool VerdictMayBeLost = false;
    move_progress StoredProgress; ///< the progress that the store holds
  };

  bool isCoordinator() const { return CoordinatorNode == Settings.Node; }
  /// Returns whether this order is the one that Move carries out, or one that
  /// it has replaced.
  bool isKnownOrder(ordered_move &Move, const move_order &Order,
                    store_revision KeyRevision);
  /// True if the order has no verdict yet.
  bool isInProgress(const ordered_move &Move) const;
  /// True if the coordinator has something to do for the order.
  bool isOpen(const ordered_move &Move) const;
  awaitable<void> acquireCoordinatorKey();
  awaitable<void> keepLease();
  awaitable<void> revokeLease();
  void coordinate(ordered_move &Move, instant Now);
  void publishMove(const service_move &Move);
  awaitable<void> saveProgress(service_name Service);
  awaitable<void> recordVerdict(service_name Service, move_verdict Verdict);
  /// Writes a move if its key has not changed since it was last read. Returns
  /// whether the store holds it.
  awaitable<bool> commit(service_name Service, service_move Move,
                         std::optional<store_put> Status);

  asio::io_context &Context;
  config_store &Store;
  const mesh_settings &Settings;
  const operator_document_format &DocumentFormat;
  mesh_state &State;
  peer_hub &Hub;
  std::unique_ptr<move_evaluator> Evaluator;
  move_decider Decider;
  order_coordinator OrderCoordinator;
  std::map<service_name, ordered_move> OrderedMoves;
  node_id CoordinatorNode;
  bool AcquiringKey = false;
  bool Resigned = false;
  instant NextAcquireAt;
  lease_id Lease; ///< of the coordinator's key, if this node wrote it
  instant LeaseRenewedAt;
  instant LeaseEndsAt;     ///< at the earliest
  incarnation Incarnation; ///< distinguishes reports of this process from those
                           ///< of an earlier one
  std::uint64_t ReportSequence = 0;
};

} // namespace chivebeam
