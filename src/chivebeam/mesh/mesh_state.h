#pragma once

#include <algorithm>
#include <functional>

#include "config/config_catch_up.h"
#include "membership/home_directory.h"
#include "mesh/mesh_settings.h"
#include "mesh/operator_document_format.h"
#include "mesh/peer_state_listener.h"
#include "routing/mesh_view.h"

namespace chivebeam {

/// The state that a node knows of its mesh: the newest configuration, the
/// records of the home nodes and the moves. An item is replaced only by a newer
/// one, whether it comes from the store or from a peer. Runs on one io_context;
/// not thread safe.
class mesh_state final : public peer_state_listener {
public:
  using evidence_handler = std::function<void(const evidence_report &)>;
  using change_handler = std::function<void()>;

  /// \pre Settings and DocumentFormat outlive the state.
  mesh_state(const mesh_settings &Settings,
             const operator_document_format &DocumentFormat);

  /// Called after each change of the view.
  void onChange(change_handler Handler) { OnChange = std::move(Handler); }
  void onEvidence(evidence_handler Handler) { OnEvidence = std::move(Handler); }

  /// Returns the view that calls are routed with; null before the first
  /// configuration.
  const fleet_view_ptr &view() const { return View; }
  bool hasConfig() const { return Config != nullptr; }
  const service_moves &moves() const { return Moves; }
  home_directory &directory() { return Directory; }

  /// Replaces this node's own record and gives it the next change number.
  void setOwnRecord(home_record Record);
  /// Raises the own change number to the one that an earlier process of this
  /// node reached, so that every node accepts the next record as newer.
  void raiseChangeNumber(std::uint64_t Change) {
    Own.Change = std::max(Own.Change, Change);
  }
  /// Merges a record that was read from the store.
  void applyStoredRecord(const home_record &Record);
  void entryRemoved(const node_id &Node);
  /// Starts the removal grace of every node that a full listing of the store
  /// does not contain.
  void keepOnly(const std::vector<node_id> &Nodes);
  /// Removes records whose removal grace has ended. Called several times a
  /// second.
  void tick(instant Now);

  home_record ownRecord() const override { return Own; }
  std::vector<home_record> knownRecords() const override;
  std::vector<service_move> knownMoves() const override;
  config_number configNumber() const override;
  shared_body compressedConfig() override;
  void applyRecords(const std::vector<home_record> &Records) override;
  void applyConfig(config_number Number, const shared_body &Text) override;
  void handleEvidence(const evidence_report &Report) override;
  void applyMove(const service_move &Move) override;
  bool peerReportedConfig(config_number Number) override;
  void nodeAnswered(const node_id &Node) override;
  /// True if a peer has reported a newer configuration than this node's.
  bool isBehind() const { return CatchUp.isBehind(configNumber()); }
  /// Sets whether this node is cut off from the store.
  void setCutOff(bool CutOff) { CatchUp.setCutOff(CutOff); }

private:
  void rebuild();
  bool offer(const home_record &Record, bool FromStore);
  void join(service_move &Known, const move_progress &Progress);

  const mesh_settings &Settings;
  const operator_document_format &DocumentFormat;
  home_record Own;
  snapshot_ptr Config;
  shared_body ConfigText;
  shared_body CompressedConfig; ///< of ConfigText; built on demand
  config_catch_up CatchUp;
  config_number RefusedConfig; ///< the last number that could not be compiled
  home_directory Directory;
  service_moves Moves;
  fleet_view_ptr View;
  change_handler OnChange;
  evidence_handler OnEvidence;
};

} // namespace chivebeam
