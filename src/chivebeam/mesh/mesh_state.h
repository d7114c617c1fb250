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

/// Everything that a node of a mesh believes: the newest configuration, the
/// home nodes and the moves. Whatever the source, a belief is only replaced by
/// a newer one. Runs on one io_context; not thread safe.
class mesh_state final : public peer_state_listener {
public:
  using evidence_handler = std::function<void(const evidence_report &)>;
  using change_handler = std::function<void()>;

  /// \pre Settings and Orders outlive the state.
  mesh_state(const mesh_settings &Settings,
             const operator_document_format &DocumentFormat);

  /// Called after each change of the view.
  void onChange(change_handler Handler) { OnChange = std::move(Handler); }
  void onEvidence(evidence_handler Handler) { OnEvidence = std::move(Handler); }

  /// Everything a call needs; null before the first configuration.
  const fleet_view_ptr &view() const { return View; }
  bool hasConfig() const { return Config != nullptr; }
  const service_moves &moves() const { return Moves; }
  home_directory &directory() { return Directory; }

  /// What the home node says of itself changed; gives it the next change
  /// number and takes it in.
  void setOwnRecord(home_record Record);
  /// An earlier process of this node has made so many changes: the next one
  /// counts on from there, so that it is the newer one everywhere.
  void raiseChangeNumber(std::uint64_t Change) {
    Own.Change = std::max(Own.Change, Change);
  }
  /// Takes in a record that the store holds.
  void applyStoredRecord(const home_record &Record);
  void vanished(const node_id &Node);
  /// Notes all nodes that a listing of the store showed.
  void keepOnly(const std::vector<node_id> &Nodes);
  /// Removes what is gone. Called several times a second.
  void tick(instant Now);

  home_record ownRecord() const override { return Own; }
  std::vector<home_record> knownRecords() const override;
  std::vector<service_move> knownMoves() const override;
  config_number configNumber() const override;
  shared_body packedConfig() override;
  void applyRecords(const std::vector<home_record> &Records) override;
  void applyConfig(config_number Number, const shared_body &Text) override;
  void handleEvidence(const evidence_report &Report) override;
  void applyMove(const service_move &Move) override;
  bool peerReportedConfig(config_number Number) override;
  void heardFrom(const node_id &Node) override;
  /// True if a newer configuration than this node's is known to exist.
  bool isBehind() const { return CatchUp.isBehind(configNumber()); }
  /// Notes whether the store answers this node.
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
  shared_body PackedConfig; ///< of ConfigText, once a peer has asked for it
  config_catch_up CatchUp;
  config_number RefusedConfig; ///< the newest that could not be compiled
  home_directory Directory;
  service_moves Moves;
  fleet_view_ptr View;
  change_handler OnChange;
  evidence_handler OnEvidence;
};

} // namespace chivebeam
