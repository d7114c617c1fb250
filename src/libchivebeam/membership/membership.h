#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/random.h"
#include "membership/control_budget.h"
#include "membership/gossip_message.h"
#include "membership/identity_guard.h"
#include "membership/member_table.h"
#include "membership/membership_settings.h"
#include "membership/update_queue.h"

namespace chivebeam {

/// Counts of membership events of this node since its start.
struct membership_counts {
  std::uint64_t Suspected = 0; ///< peers that did not answer this node's probes
  std::uint64_t Dead = 0;      ///< peers that this node declared dead
  std::uint64_t Refuted = 0;   ///< refutations of a record of this node
  std::uint64_t Pulls = 0;
  std::uint64_t PullsAnswered = 0;
};

/// Membership protocol of a node: SWIM probes with suspicion and refutation;
/// push gossip, which sends updates to a few peers at once and then piggybacks
/// them on other messages; and anti-entropy, which pulls the buckets that
/// differ. A control budget limits the bytes sent. Neither reads a clock nor
/// sends: callers pass the time and send the returned messages. Not thread
/// safe.
class membership {
public:
  /// \pre Self is valid and its incarnation is set.
  membership(fleet_name Fleet, member_record Self, membership_settings Settings,
             std::uint64_t Seed);

  /// Adds addresses of possible peers. They are pinged at each probe while no
  /// other node is known, and rarely later. The oldest are dropped when there
  /// are too many.
  void addContacts(const std::vector<address> &Peers);

  /// Runs the probes, pushes, pulls and timeouts that are due at Now. To be
  /// called at least every GossipInterval. Returns the messages to send.
  std::vector<addressed_message> tick(instant Now);
  /// Processes a message from a peer; returns the messages to send.
  std::vector<addressed_message> receive(const gossip_message &Message,
                                         const address &From, instant Now);

  /// These change this node's own record and send it with the next push.
  void updateWorker(const worker_record &Worker, instant Now);
  void setLeaving(instant Now);
  void setWatcher(bool Watcher, instant Now);
  /// Announces a configuration with the next push.
  void setHead(const config_head &Head);
  /// Joins Progress with the known progress of its move and announces a change
  /// with the next push. Returns true if the progress changed.
  bool offerMove(const move_progress &Progress);
  /// Removes all moves except Ids, the moves of the configuration.
  void keepMoves(const std::vector<move_id> &Ids);

  const member_table &table() const { return Table; }
  const member_record &self() const { return Self; }
  const std::map<move_id, move_progress> &moves() const { return Moves; }
  /// The highest configuration head that was received from a peer or set by
  /// setHead, and the last peer whose head was higher than all before.
  const config_head &highestHead() const { return HighestHead; }
  const address &highestHeadPeer() const { return HighestHeadPeer; }
  /// Increases with each change that may affect routing.
  std::uint64_t routingRevision() const {
    return Table.routingRevision() + MoveRevision;
  }
  const identity_guard &identity() const { return Identity; }
  const control_budget &budget() const { return Budget; }
  const membership_counts &counts() const { return Counts; }

private:
  struct probe {
    node_id Target;
    std::uint64_t Sequence = 0;
    instant SentAt;
    bool Indirect = false;
  };
  /// A ping sent on behalf of Requester, to which its ack is forwarded.
  struct relayed_ping {
    address Requester;
    std::uint64_t RequesterSequence = 0;
  };
  /// A peer's report that a node is dead while the local table has it as alive.
  /// The node is marked dead at Expires unless its incarnation rises before.
  struct death_report {
    incarnation Incarnation;
    instant Expires;
  };
  using messages = std::vector<addressed_message>;

  gossip_message makeMessage(gossip_kind Kind, std::uint64_t Sequence);
  /// Fills the rest of the datagram with updates of priority Lowest or higher.
  void addUpdates(gossip_message &Message, update_priority Lowest);
  /// The lowest priority of updates that the budget allows now, if any.
  std::optional<update_priority> affordableUpdates(instant Now);
  /// Appends the message if the budget allows it.
  void send(traffic_class Class, const address &To, gossip_message Message,
            instant Now, messages &Out);

  void answerPing(const gossip_message &Ping, const address &From, instant Now,
                  messages &Out);
  void onAck(const gossip_message &Ack, instant Now, messages &Out);
  void onPingRequest(const gossip_message &Request, const address &From,
                     instant Now, messages &Out);
  void answerPull(const gossip_message &Pull, const address &From, instant Now,
                  messages &Out);

  void appendBucket(std::size_t Bucket, gossip_message &Answer);
  std::size_t bytesOfBucket(std::size_t Bucket) const;
  /// Sends the records that Answer shows to be missing at the peer.
  void returnMissing(const gossip_message &Answer, const address &To,
                     instant Now, messages &Out);

  void mergeMessage(const gossip_message &Message, const address &From,
                    instant Now);
  /// Merges a record from a peer. A record with a state other than alive is
  /// ignored unless TrustFailureReports is set.
  void mergeReported(const member_record &Record, bool TrustFailureReports,
                     instant Now);
  void mergeRecord(const member_record &Record, instant Now);
  /// Raises the incarnation of this node above that of Record if Record
  /// supersedes the record of this node and is to be refuted.
  void refuteOwnRecord(const member_record &Record, instant Now);
  void raiseOwnIncarnation(instant Now);

  void probeNext(instant Now, messages &Out);
  void pingContacts(instant Now, messages &Out);
  void checkProbe(instant Now, messages &Out);
  void requestIndirectPings(const member_record &Target, instant Now,
                            messages &Out);
  /// False while this node may be isolated, at most for IsolationGrace.
  bool mayReportFailures(instant Now) const;
  void expireSuspects(instant Now);
  void expireDeathReports(instant Now);
  void probeDead(instant Now, messages &Out);
  /// Pings one node about which peers disagree, so that it can refute the
  /// record that says it is dead.
  void probeDisputed(instant Now, messages &Out);
  void markDisputed(const node_id &Node);
  void pushUpdates(instant Now, messages &Out);
  void pullIfDue(instant Now, messages &Out);
  /// Raises the state of another node to suspect or dead.
  void raiseState(const node_id &Node, member_state State, instant Now);
  std::vector<const member_record *> pickPeers(std::size_t Count);
  /// Number of times that each update is sent.
  unsigned maxSends() const;
  /// Digest of the member table and the moves, sent with each message.
  std::uint64_t digest() const;

  fleet_name Fleet;
  membership_settings Settings;
  random_source Random;
  member_record Self;
  member_table Table;
  identity_guard Identity;
  control_budget Budget;
  membership_counts Counts;
  std::vector<address> Contacts;
  update_queue<node_id> RecordUpdates;
  update_queue<move_id> MoveUpdates;
  std::map<move_id, move_progress> Moves;
  std::uint64_t MoveRevision = 0;
  config_head Head;
  config_head HighestHead;
  address HighestHeadPeer;
  std::optional<probe> Probe;
  std::vector<node_id> ProbeOrder;
  std::map<std::uint64_t, relayed_ping> RelayedPings;
  std::map<node_id, death_report> DeathReports;
  std::set<node_id> Disputed;
  std::uint64_t NextSequence = 0;
  instant LastReceivedAt;
  instant NextProbe;
  instant NextPush;
  instant NextEagerPush;
  instant NextDeadProbe;
  instant NextDisputeProbe;
  instant RejoinEnds;
  instant LastPull;
  instant LastChange;
  std::optional<address> PullTarget;
  std::size_t ChangesSincePull = 0;
  bool Joining = true;
  bool EagerUpdatesPending = false;
  bool EagerHeadPending = false;
};

} // namespace chivebeam
