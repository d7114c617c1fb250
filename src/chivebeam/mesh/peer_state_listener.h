#pragma once

#include <optional>
#include <vector>

#include "limits/usage_messages.h"
#include "membership/record_digest.h"
#include "mesh/mesh_call.h"
#include "moves/evidence.h"
#include "moves/service_move.h"
#include "routing/crash_suspects.h"
#include "routing/evacuation_state.h"

namespace chivebeam {

/// What every frame of a node tells about its state. A plain value.
struct peer_status {
  config_number Config; ///< newest number that the node holds
  /// Time since the node, a watcher, read all changes of the store; empty if it
  /// does not read them.
  std::optional<microseconds> StoreAge;
  store_era Era; ///< highest era of the store that the node knows
};

/// Provides and receives the state that nodes exchange besides calls: their
/// records, their configuration, the evidence and the progress of moves. Runs
/// on one io_context; not thread safe.
class peer_state_listener {
public:
  virtual ~peer_state_listener() = default;

  virtual home_record ownRecord() const = 0;
  /// Returns the records in a set of buckets, also of nodes that are gone.
  virtual std::vector<home_record> recordsIn(std::uint64_t BucketSet) const = 0;
  virtual const record_buckets &buckets() const = 0;
  virtual std::vector<service_move> knownMoves() const = 0;
  /// Returns the known events of calls that ran when backend servers ended.
  virtual std::vector<suspect_event> knownSuspects() const = 0;
  virtual peer_status ownStatus() const = 0;
  /// Returns the evacuated failure domains; empty if no order was ever known.
  virtual std::optional<evacuation_orders> knownEvacuations() const = 0;
  /// Returns a digest of the records and moves.
  virtual std::uint64_t digest() const = 0;
  /// Returns the compressed text of the newest configuration; null if there
  /// is none.
  virtual shared_body compressedConfig() = 0;

  /// Applies records that the node From sent.
  virtual void applyRecords(const std::vector<home_record> &Records,
                            const node_id &From) = 0;
  /// Returns the records of this node that are newer than those in Table, the
  /// records of a peer in a set of buckets, or that it lacks.
  virtual std::vector<home_record>
  recordsMissingIn(const std::vector<home_record> &Table,
                   std::uint64_t BucketSet) const = 0;
  virtual void applyConfig(config_number Number, const shared_body &Text) = 0;
  virtual void handleEvidence(const evidence_report &Report) = 0;
  virtual void applyMove(const service_move &Move, const node_id &From) = 0;
  virtual void applySuspects(const std::vector<suspect_event> &Events,
                             const node_id &From) = 0;
  /// Applies the evacuated failure domains that the node From, which may be
  /// empty, knows.
  virtual void applyEvacuations(const evacuation_orders &Orders,
                                const node_id &From) = 0;
  /// Called with requests for tokens of usage caps, or with their answer.
  virtual void handleUsage(const usage_message &Message,
                           const node_id &From) = 0;
  /// Called with the status in each frame of another node; From is empty if
  /// that node is not known yet. Returns whether to request its configuration.
  virtual bool peerReported(const node_id &From, const peer_status &Status) = 0;
  /// Returns the node from which to request a newer configuration now, because
  /// an earlier request was not answered or could not be made yet. Called
  /// several times a second.
  virtual std::optional<node_id> nextConfigSource(instant Now) = 0;
  /// Called when a connection to the node has ended.
  virtual void connectionEnded(const node_id &Node) = 0;
  /// Called with the digest in a peer's answer to a ping. Returns whether to
  /// request its records.
  virtual bool digestDiffers(const node_id &From, std::uint64_t Digest) = 0;
  /// Called when a message from the node itself has arrived.
  virtual void nodeAnswered(const node_id &Node) = 0;
};

} // namespace chivebeam
