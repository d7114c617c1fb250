#pragma once

#include <map>

#include "mesh/mesh_records.h"
#include "mesh/mesh_state.h"
#include "mesh/peer_hub.h"
#include "moves/order_conductor.h"
#include "store/config_store.h"

namespace chivebeam {

/// Carries out the operator's orders to move services to other versions. One
/// node conducts them, chosen by a key in the store; all others send it what
/// their backend servers do. What it decides goes to all nodes at once and to
/// the store. Runs on one io_context; not thread safe.
class move_executor {
public:
  /// \pre everything outlives the desk.
  move_executor(asio::io_context &Context, config_store &Store,
                const mesh_settings &Settings,
                const operator_document_format &DocumentFormat,
                mesh_state &State, peer_hub &Hub);

  /// Takes in what the store holds.
  void applyOrder(const move_order &Order, store_revision KeyRevision);
  void applyMove(const service_move &Move, store_revision KeyRevision);
  void setCoordinator(const node_id &Node);
  void clearCoordinator() { CoordinatorNode = node_id(); }
  void handleEvidence(const evidence_report &Report);
  /// True if an order has no verdict yet.
  bool hasOpenMoves() const;

  /// This node stops: another is to conduct from now on.
  void resign();

  /// Decides what is due. Called several times a second.
  void tick(instant Now);
  /// Sends the conductor what this node has counted, if a move of the service
  /// is under way.
  void sendEvidence(const service_name &Service, const version_name &Version,
                    const evidence_by_route &Evidence);

private:
  struct ordered_move {
    move_order Order;
    store_revision KeyRevision; ///< of the order
    store_revision
        MoveKeyRevision;        ///< of the move's key; zero: it does not exist
    bool WritePending = false;  ///< a write is under way
    bool StartReported = false; ///< the operator has read that it is under way
    move_progress StoredProgress; ///< what the store holds
  };

  bool isCoordinator() const { return CoordinatorNode == Settings.Node; }
  /// True if the order has no verdict yet.
  bool isOpen(const ordered_move &Move) const;
  awaitable<void> acquireCoordinatorKey();
  awaitable<void> keepLease();
  awaitable<void> revokeLease();
  void coordinate(ordered_move &Move, instant Now);
  void publishMove(const service_move &Move);
  awaitable<void> saveProgress(service_name Service);
  awaitable<void> recordVerdict(service_name Service, move_verdict Verdict);
  /// Writes a move, if nobody else has. Returns whether the store holds it.
  awaitable<bool> commit(service_name Service, service_move Move,
                         std::optional<store_put> Status);

  asio::io_context &Context;
  config_store &Store;
  const mesh_settings &Settings;
  const operator_document_format &DocumentFormat;
  mesh_state &State;
  peer_hub &Hub;
  std::unique_ptr<move_judge> Evaluator;
  move_decider Decider;
  order_conductor OrderCoordinator;
  std::map<service_name, ordered_move> OrderedMoves;
  node_id CoordinatorNode;
  bool AcquiringKey = false;
  bool Resigned = false;
  instant NextAcquireAt;
  lease_id Lease; ///< of the conductor's key, if this node wrote it
  instant LeaseRenewedAt;
  incarnation Life; ///< tells the reports of this process from earlier ones
  std::uint64_t ReportSequence = 0;
};

} // namespace chivebeam
