#pragma once

#include <algorithm>
#include <functional>

#include "base/token_bucket.h"
#include "config/config_catch_up.h"
#include "membership/home_directory.h"
#include "membership/record_digest.h"
#include "mesh/mesh_settings.h"
#include "mesh/operator_document_format.h"
#include "mesh/peer_state_listener.h"
#include "routing/mesh_view.h"
#include "routing/passed_notices.h"
#include "routing/suspect_listener.h"

namespace chivebeam {

/// The state that a node knows of its mesh: the newest configuration, the
/// records of the home nodes and the moves. An item is replaced only by a newer
/// one, whether it comes from the store or from a peer. Records that arrive
/// shortly after each other change the view together. Runs on one io_context;
/// not thread safe.
class mesh_state final : public peer_state_listener, public suspect_listener {
public:
  using evidence_handler = std::function<void(const evidence_report &)>;
  using change_handler = std::function<void()>;
  using record_handler = std::function<void(const home_record &)>;
  /// Receives newer records that another node has sent.
  using news_handler = std::function<void(const std::vector<home_record> &,
                                          const node_id &From)>;
  using move_handler =
      std::function<void(const service_move &, const node_id &From)>;
  /// Receives events that this node did not know.
  using suspect_handler = std::function<void(const std::vector<suspect_event> &,
                                             const node_id &From)>;
  /// Receives the node that sent orders that this node did not know.
  using evacuation_handler = std::function<void(const node_id &From)>;
  using era_handler = std::function<void(store_era)>;
  using usage_handler =
      std::function<void(const usage_message &, const node_id &From)>;
  using status_handler =
      std::function<void(const node_id &From, const peer_status &)>;

  /// \pre Settings and DocumentFormat outlive the state.
  mesh_state(const mesh_settings &Settings,
             const operator_document_format &DocumentFormat);

  /// Called after each change of the view.
  void onChange(change_handler Handler) { OnChange = std::move(Handler); }
  void onEvidence(evidence_handler Handler) { OnEvidence = std::move(Handler); }
  /// Called after each change of this node's own record.
  void onOwnRecord(record_handler Handler) { OnOwnRecord = std::move(Handler); }
  /// Called with a copy of this node's record that another process or another
  /// node wrote: this node has not seen it or has to refute it.
  void onOwnCopy(record_handler Handler) { OnOwnCopy = std::move(Handler); }
  void onNews(news_handler Handler) { OnNews = std::move(Handler); }
  void onMoveNews(move_handler Handler) { OnMoveNews = std::move(Handler); }
  void onSuspectNews(suspect_handler Handler) {
    OnSuspectNews = std::move(Handler);
  }
  void onEvacuationNews(evacuation_handler Handler) {
    OnEvacuationNews = std::move(Handler);
  }
  /// Called when the store came back from an older copy: this node learns it
  /// from the store or from another node.
  void onEraRise(era_handler Handler) { OnEraRise = std::move(Handler); }
  /// Called after a newer configuration came into force on this node.
  void onNewConfig(change_handler Handler) { OnNewConfig = std::move(Handler); }
  void onUsage(usage_handler Handler) { OnUsage = std::move(Handler); }
  void onPeerStatus(status_handler Handler) {
    OnPeerStatus = std::move(Handler);
  }

  /// Returns the view that calls are routed with; null before the first
  /// configuration.
  const fleet_view_ptr &view() const { return View; }
  bool hasConfig() const { return Config != nullptr; }
  const service_moves &moves() const { return Moves; }
  home_directory &directory() { return Directory; }

  /// Replaces this node's own record and gives it the next change number. Its
  /// address and roles stay.
  void setOwnRecord(home_record Record);
  /// Sets whether this node watches the store for others.
  void setWatching(bool IsWatching);
  /// Sets whether this node coordinates the moves.
  void setCoordinating(bool IsCoordinating);
  /// Notes the era of the store in an answer of the store or a message of
  /// another node.
  void noteEra(store_era Seen);
  store_era era() const { return Era; }
  /// Sets when this node, as a watcher, had last read all changes of the store;
  /// zero: it does not read them.
  void setStoreReadAt(instant At) { StoreReadAt = At; }
  /// Notes what a backend server says about itself in an answer that this node
  /// passes on. One that leaves is in no later view.
  void answerPassed(const worker_start &Server, const server_notice &Notice);
  const passed_notices &notices() const { return Notices; }
  /// Raises the own change number to the one that an earlier process of this
  /// node reached, so that every node accepts the next record as newer.
  void raiseChangeNumber(std::uint64_t Change) {
    Own.Change = std::max(Own.Change, Change);
  }
  /// Marks the selected nodes that have been silent for long as gone and
  /// returns their records.
  std::vector<home_record> markGone(const home_directory::record_filter &Filter,
                                    instant Now);
  /// Updates the view after changes of records. Called several times a second.
  void tick(instant Now);

  home_record ownRecord() const override { return Own; }
  /// Returns the records of all nodes that are not gone.
  std::vector<home_record> knownRecords() const { return Directory.records(); }
  std::vector<home_record> recordsIn(std::uint64_t BucketSet) const override;
  const record_buckets &buckets() const override { return Directory.buckets(); }
  std::vector<service_move> knownMoves() const override;
  config_number configNumber() const;
  std::vector<suspect_event> knownSuspects() const override;
  const crash_suspects &suspects() const override { return Suspects; }
  void suspectsObserved(const std::vector<suspect_event> &Events) override {
    applySuspects(Events, Own.Node);
  }
  void applySuspects(const std::vector<suspect_event> &Events,
                     const node_id &From) override;
  peer_status ownStatus() const override;
  std::optional<evacuation_orders> knownEvacuations() const override;
  void applyEvacuations(const evacuation_orders &Orders,
                        const node_id &From) override;
  /// Applies the evacuated failure domains of a listing of the store.
  void evacuationsListed(std::set<failure_domain> Domains,
                         store_revision Revision);
  /// Applies the beginning or the end of an order that the store reports.
  void evacuationChanged(const failure_domain &Domain, store_revision Revision,
                         bool IsOrdered);
  /// True if the backend servers in the domain of this node get no calls.
  bool isEvacuated() const { return Evacuations.isEvacuated(Settings.Domain); }
  std::uint64_t digest() const override;
  shared_body compressedConfig() override;
  void applyRecords(const std::vector<home_record> &Records,
                    const node_id &From) override;
  std::vector<home_record>
  recordsMissingIn(const std::vector<home_record> &Table,
                   std::uint64_t BucketSet) const override;
  void applyConfig(config_number Number, const shared_body &Text) override;
  void handleEvidence(const evidence_report &Report) override;
  void applyMove(const service_move &Move, const node_id &From) override;
  /// Applies a move that this node has decided or read from the store.
  void applyMove(const service_move &Move) { applyMove(Move, Own.Node); }
  void handleUsage(const usage_message &Message, const node_id &From) override {
    if (OnUsage)
      OnUsage(Message, From);
  }
  bool peerReported(const node_id &From, const peer_status &Status) override;
  std::optional<node_id> nextConfigSource(instant Now) override {
    return CatchUp.nextSource(configNumber(), Now);
  }
  void connectionEnded(const node_id &Node) override {
    CatchUp.connectionEnded(Node);
  }
  bool digestDiffers(const node_id &From, std::uint64_t Digest) override;
  void nodeAnswered(const node_id &Node) override;
  /// True if a peer has reported a newer configuration than this node's.
  bool isBehind() const { return CatchUp.isBehind(configNumber()); }
  /// Sets whether neither the store nor a watcher brings this node newer
  /// configurations.
  void setCutOff(bool IsCutOff) {
    CutOff = IsCutOff;
    CatchUp.setCutOff(IsCutOff);
  }

private:
  void rebuild();
  /// Rebuilds the view if records have changed, but rarely in a series of
  /// changes.
  void rebuildIfOutdated(instant Now);
  void logChange(const home_record &Record, const node_id &From);
  void updateOwn(home_record Record);
  void evacuationsChanged(const node_id &From);
  bool offer(const home_record &Record, const node_id &From);
  /// Returns whether the progress changes how calls are routed.
  bool join(service_move &Known, const move_progress &Progress);

  const mesh_settings &Settings;
  const operator_document_format &DocumentFormat;
  home_record Own;
  snapshot_ptr Config;
  shared_body ConfigText;
  shared_body CompressedConfig; ///< of ConfigText; built on demand
  config_catch_up CatchUp;
  config_number RefusedConfig; ///< the last number that could not be compiled
  home_directory Directory;
  instant StoreReadAt;
  bool CutOff = false;
  store_era Era;             ///< zero: not known yet
  bool ViewOutdated = false; ///< records have changed since the last rebuild
  instant RebuiltAt;
  /// Limits the log lines of changed records.
  token_bucket ChangeLogBudget;
  std::uint64_t OmittedLines = 0;
  std::map<node_id, digest_comparison> Digests; ///< by peer
  service_moves Moves;
  crash_suspects Suspects;
  passed_notices Notices;
  evacuation_state Evacuations;
  fleet_view_ptr View;
  change_handler OnChange;
  change_handler OnNewConfig;
  evidence_handler OnEvidence;
  record_handler OnOwnRecord;
  record_handler OnOwnCopy;
  news_handler OnNews;
  move_handler OnMoveNews;
  suspect_handler OnSuspectNews;
  usage_handler OnUsage;
  status_handler OnPeerStatus;
  era_handler OnEraRise;
  evacuation_handler OnEvacuationNews;
};

} // namespace chivebeam
