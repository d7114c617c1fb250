#pragma once

#include <vector>

#include "membership/home_record.h"
#include "mesh/mesh_call.h"
#include "moves/evidence.h"
#include "moves/service_move.h"

namespace chivebeam {

/// Provides and receives the state that nodes exchange besides calls: their
/// records, their configuration, the evidence and the progress of moves. Runs
/// on one io_context; not thread safe.
class peer_state_listener {
public:
  virtual ~peer_state_listener() = default;

  virtual home_record ownRecord() const = 0;
  virtual std::vector<home_record> knownRecords() const = 0;
  virtual std::vector<service_move> knownMoves() const = 0;
  virtual config_number configNumber() const = 0;
  /// Returns the compressed text of the newest configuration; null if there
  /// is none.
  virtual shared_body compressedConfig() = 0;

  virtual void applyRecords(const std::vector<home_record> &Records) = 0;
  virtual void applyConfig(config_number Number, const shared_body &Text) = 0;
  virtual void handleEvidence(const evidence_report &Report) = 0;
  virtual void applyMove(const service_move &Move) = 0;
  /// Called when a peer has the configuration with this number. Returns whether
  /// to request it from that peer.
  virtual bool peerReportedConfig(config_number Number) = 0;
  /// Called when a message from the node itself has arrived.
  virtual void nodeAnswered(const node_id &Node) = 0;
};

} // namespace chivebeam
