#include "membership/membership.h"

#include <algorithm>
#include <bit>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chivebeam {

namespace {

constexpr std::size_t MaxMovesPerMessage = 4;
/// Number of times an update is sent after the first push to several peers.
constexpr unsigned ExtraSends = 4;
constexpr std::size_t LongQueueLength = 20;
constexpr unsigned LongQueueMaxSends = 3;
constexpr std::size_t MaxRelayedPings = 256;
constexpr std::size_t MaxContacts = 64;
constexpr std::size_t ContactsPerProbe = 2;
constexpr std::size_t MaxDisputed = 1'024;
/// With at most this many peers, receiving nothing is taken as failure of the
/// peers, not as isolation of this node.
constexpr std::size_t SmallFleetPeers = 3;
constexpr std::uint64_t SequenceSpace = std::uint64_t{1} << 48;
/// Time for updates in flight to arrive before a pull requests them.
constexpr milliseconds SettleTime{500};
/// Maximum time between pulls while digests differ.
constexpr milliseconds MaxPullWait{3'000};
/// While joining, a pull that brought this many changes is followed by another
/// after FastPullInterval.
constexpr std::size_t FastPullMinChanges = 8;
/// Time to refute a death report, in suspicion timeouts.
constexpr int DeathReportTimeouts = 4;
/// Limits the memory used by records that other nodes send.
constexpr std::size_t MaxMembers = 8'192;

std::uint64_t digestOf(const std::map<move_id, move_progress> &Moves) {
  std::uint64_t Digest = 0;
  for (const auto &[Id, Progress] : Moves) {
    std::uint64_t Seed = static_cast<std::uint64_t>(Progress.Phase) * 4 +
                         static_cast<std::uint64_t>(Progress.Recorded) +
                         std::uint64_t{Progress.Step} * 16;
    Digest += XXH3_64bits_withSeed(Id.str().data(), Id.str().size(), Seed);
  }
  return Digest;
}

} // namespace

membership::membership(fleet_name FleetName, member_record SelfRecord,
                       membership_settings NewSettings, std::uint64_t Seed)
    : Fleet(std::move(FleetName)), Settings(NewSettings), Random(Seed),
      Self(std::move(SelfRecord)),
      Budget(Settings.BytesPerSecond, Settings.BurstBytes),
      NextSequence(Random.below(SequenceSpace)) {
  Table.merge(Self, instant());
  RecordUpdates.add(Self.Node);
}

void membership::addContacts(const std::vector<address> &Peers) {
  for (const address &Peer : Peers)
    if (Peer != Self.Peer &&
        std::find(Contacts.begin(), Contacts.end(), Peer) == Contacts.end())
      Contacts.push_back(Peer);
  if (Contacts.size() > MaxContacts)
    Contacts.erase(Contacts.begin(), Contacts.end() - MaxContacts);
}

unsigned membership::maxSends() const {
  // Updates in a long queue are sent fewer times; pulls repair what is missed.
  return RecordUpdates.size() > LongQueueLength
             ? LongQueueMaxSends
             : Settings.PushFanout + ExtraSends;
}

std::uint64_t membership::digest() const {
  return Table.digest() + digestOf(Moves);
}

// Sending.

gossip_message membership::makeMessage(gossip_kind Kind,
                                       std::uint64_t Sequence) {
  gossip_message Message;
  Message.Kind = Kind;
  Message.Fleet = Fleet;
  Message.Sequence = Sequence;
  Message.Sender = Self;
  Message.Head = Head;
  Message.TableDigest = digest();
  return Message;
}

std::optional<update_priority> membership::affordableUpdates(instant Now) {
  if (Budget.canSpend(traffic_class::updates, Settings.MaxDatagramBytes, Now))
    return update_priority::ordinary;
  if (Budget.canSpend(traffic_class::urgent, Settings.MaxDatagramBytes, Now))
    return update_priority::urgent;
  return std::nullopt;
}

void membership::addUpdates(gossip_message &Message, update_priority Lowest) {
  std::size_t MovesLeft = MaxMovesPerMessage;
  for (const move_id &Id :
       MoveUpdates.take(maxSends(), Lowest,
                        [&](const move_id &) { return MovesLeft-- > 0; }))
    if (auto Found = Moves.find(Id); Found != Moves.end())
      Message.Moves.push_back(Found->second);
  std::size_t Bytes = estimatedBytes(Message);
  auto Fits = [&](const node_id &Node) {
    if (const member_record *Record = Table.find(Node))
      Bytes += estimatedBytes(*Record);
    return Bytes <= Settings.MaxDatagramBytes;
  };
  for (const node_id &Node : RecordUpdates.take(maxSends(), Lowest, Fits))
    if (const member_record *Record = Table.find(Node))
      Message.Records.push_back(*Record);
}

void membership::send(traffic_class Class, const address &To,
                      gossip_message Message, instant Now, messages &Out) {
  if (Budget.spend(Class, estimatedBytes(Message), Now))
    Out.push_back({To, std::move(Message)});
}

std::vector<const member_record *> membership::pickPeers(std::size_t Count) {
  const auto &Live = Table.live();
  std::size_t Others = Live.size() - 1;
  std::vector<const member_record *> Peers;
  if (Count >= Others) {
    for (const member_table::entry *Entry : Live)
      if (Entry->Record.Node != Self.Node)
        Peers.push_back(&Entry->Record);
    return Peers;
  }
  while (Peers.size() < Count) {
    const member_record *Peer = &Live[Random.below(Live.size())]->Record;
    bool Known = std::find(Peers.begin(), Peers.end(), Peer) != Peers.end();
    if (!Known && Peer->Node != Self.Node)
      Peers.push_back(Peer);
  }
  return Peers;
}

std::vector<addressed_message> membership::tick(instant Now) {
  messages Out;
  expireSuspects(Now);
  expireDeathReports(Now);
  checkProbe(Now, Out);
  if (Now >= NextProbe) {
    NextProbe = Now + Settings.ProbeInterval;
    probeNext(Now, Out);
    Table.removeDead(Now - Settings.DeadRetention);
  }
  if (Now >= NextDeadProbe)
    probeDead(Now, Out);
  probeDisputed(Now, Out);
  pushUpdates(Now, Out);
  pullIfDue(Now, Out);
  return Out;
}

void membership::pushUpdates(instant Now, messages &Out) {
  bool Eager =
      (EagerUpdatesPending || EagerHeadPending) && Now >= NextEagerPush;
  bool HasUpdates = !RecordUpdates.empty() || !MoveUpdates.empty();
  if (!Eager && (!HasUpdates || Now < NextPush))
    return;
  std::size_t Fanout = Eager ? Settings.PushFanout : 1;
  for (const member_record *Peer : pickPeers(Fanout)) {
    std::optional<update_priority> Lowest = affordableUpdates(Now);
    if (!Lowest)
      break;
    gossip_message Message = makeMessage(gossip_kind::push, 0);
    addUpdates(Message, *Lowest);
    bool Empty = Message.Records.empty() && Message.Moves.empty();
    if (!Empty || EagerHeadPending)
      send(traffic_class::urgent, Peer->Peer, std::move(Message), Now, Out);
  }
  NextEagerPush = Now + Settings.EagerPushInterval;
  NextPush = Now + Settings.GossipInterval;
  EagerUpdatesPending = false;
  EagerHeadPending = false;
}

void membership::pingContacts(instant Now, messages &Out) {
  for (std::size_t Index = 0;
       Index < std::min(ContactsPerProbe, Contacts.size()); ++Index) {
    std::size_t Chosen = Index + Random.below(Contacts.size() - Index);
    std::swap(Contacts[Index], Contacts[Chosen]);
    send(traffic_class::probe, Contacts[Index],
         makeMessage(gossip_kind::ping, NextSequence++), Now, Out);
  }
}

void membership::probeNext(instant Now, messages &Out) {
  if (Table.liveCount() == 1) {
    pingContacts(Now, Out);
    return;
  }
  if (ProbeOrder.empty()) {
    for (const member_table::entry *Entry : Table.live())
      if (Entry->Record.Node != Self.Node)
        ProbeOrder.push_back(Entry->Record.Node);
    for (std::size_t Index = ProbeOrder.size(); Index > 1; --Index)
      std::swap(ProbeOrder[Index - 1], ProbeOrder[Random.below(Index)]);
  }
  node_id Target = ProbeOrder.back();
  ProbeOrder.pop_back();
  const member_record *Record = Table.find(Target);
  if (!Record || Record->State == member_state::dead)
    return;
  Probe = probe{Target, NextSequence++, Now, false};
  gossip_message Ping = makeMessage(gossip_kind::ping, Probe->Sequence);
  if (Record->State != member_state::alive)
    Ping.Records.push_back(*Record);
  if (std::optional<update_priority> Lowest = affordableUpdates(Now))
    addUpdates(Ping, *Lowest);
  send(traffic_class::probe, Record->Peer, std::move(Ping), Now, Out);
}

void membership::checkProbe(instant Now, messages &Out) {
  if (!Probe)
    return;
  const member_record *Target = Table.find(Probe->Target);
  if (!Target || Target->State == member_state::dead) {
    Probe.reset();
    return;
  }
  if (!Probe->Indirect && Now >= Probe->SentAt + Settings.ProbeTimeout) {
    Probe->Indirect = true;
    send(traffic_class::probe, Target->Peer,
         makeMessage(gossip_kind::ping, Probe->Sequence), Now, Out);
    requestIndirectPings(*Target, Now, Out);
  } else if (Now >= Probe->SentAt + Settings.ProbeTimeout * 3) {
    if (mayReportFailures(Now))
      raiseState(Probe->Target, member_state::suspect, Now);
    Probe.reset();
  }
}

void membership::requestIndirectPings(const member_record &Target, instant Now,
                                      messages &Out) {
  for (const member_record *Peer : pickPeers(Settings.IndirectProbes)) {
    if (Peer->Node == Target.Node)
      continue;
    gossip_message Message =
        makeMessage(gossip_kind::ping_request, Probe->Sequence);
    Message.Target = Target.Peer;
    send(traffic_class::probe, Peer->Peer, std::move(Message), Now, Out);
  }
}

void membership::probeDead(instant Now, messages &Out) {
  bool Rejoining = Now < RejoinEnds;
  NextDeadProbe = Now + (Rejoining ? Settings.RejoinProbeInterval
                                   : Settings.DeadProbeInterval);
  std::size_t Count = Table.dead().size();
  if (!Rejoining)
    Count += Contacts.size();
  if (Count == 0)
    return;
  std::size_t Chosen = Random.below(Count);
  gossip_message Ping = makeMessage(gossip_kind::ping, NextSequence++);
  if (Chosen >= Table.dead().size()) {
    send(traffic_class::probe, Contacts[Chosen - Table.dead().size()],
         std::move(Ping), Now, Out);
    return;
  }
  auto Node =
      std::next(Table.dead().begin(), static_cast<std::ptrdiff_t>(Chosen));
  const member_record *Record = Table.find(*Node);
  Ping.Records.push_back(*Record);
  send(traffic_class::probe, Record->Peer, std::move(Ping), Now, Out);
}

void membership::markDisputed(const node_id &Node) {
  if (Disputed.size() < MaxDisputed)
    Disputed.insert(Node);
}

void membership::probeDisputed(instant Now, messages &Out) {
  if (Disputed.empty() || Now < NextDisputeProbe)
    return;
  NextDisputeProbe = Now + Settings.RejoinProbeInterval;
  auto Chosen =
      std::next(Disputed.begin(),
                static_cast<std::ptrdiff_t>(Random.below(Disputed.size())));
  const member_record *Known = Table.find(*Chosen);
  bool ReportedDead = DeathReports.contains(*Chosen);
  Disputed.erase(Chosen);
  if (!Known || (Known->State != member_state::dead && !ReportedDead))
    return;
  gossip_message Ping = makeMessage(gossip_kind::ping, NextSequence++);
  Ping.Records.push_back(*Known);
  Ping.Records.back().State = member_state::dead;
  send(traffic_class::probe, Known->Peer, std::move(Ping), Now, Out);
}

void membership::pullIfDue(instant Now, messages &Out) {
  if (Joining && Now >= LastPull + Settings.FastPullInterval)
    Joining = LastPull == instant() || ChangesSincePull >= FastPullMinChanges;
  bool Fast = Joining && Now >= LastPull + Settings.FastPullInterval;
  bool Settled =
      Now >= LastChange + SettleTime && Now >= LastPull + Settings.PullInterval;
  bool Overdue = Now >= LastPull + MaxPullWait;
  if (!PullTarget || (!Fast && !Settled && !Overdue))
    return;
  address From = *PullTarget;
  if (Fast)
    for (const member_record *Peer : pickPeers(1))
      From = Peer->Peer;
  PullTarget.reset();
  ChangesSincePull = 0;
  LastPull = Now;
  ++Counts.Pulls;
  gossip_message Pull = makeMessage(gossip_kind::pull, 0);
  const member_table::bucket_digests &Digests = Table.bucketDigests();
  Pull.BucketDigests.assign(Digests.begin(), Digests.end());
  send(traffic_class::urgent, From, std::move(Pull), Now, Out);
}

// Failure detection and changes of records.

bool membership::mayReportFailures(instant Now) const {
  bool ReceivedRecently = Now < LastReceivedAt + Settings.ProbeInterval * 2;
  bool LongIsolated = Now >= LastReceivedAt + Settings.IsolationGrace;
  return ReceivedRecently || LongIsolated ||
         Table.liveCount() <= SmallFleetPeers + 1;
}

void membership::expireSuspects(instant Now) {
  if (Table.suspects().empty() || !mayReportFailures(Now))
    return;
  std::vector<node_id> Expired;
  for (const node_id &Node : Table.suspects())
    if (Now >= Table.entries().at(Node).ChangedAt + Settings.SuspicionTimeout)
      Expired.push_back(Node);
  for (const node_id &Node : Expired)
    raiseState(Node, member_state::dead, Now);
}

void membership::expireDeathReports(instant Now) {
  std::vector<node_id> Unrefuted;
  std::erase_if(DeathReports, [&](const auto &Item) {
    const member_record *Known = Table.find(Item.first);
    bool Refuted = !Known || Known->Incarnation != Item.second.Incarnation;
    bool Expired = Now >= Item.second.Expires;
    if (!Refuted && Expired)
      Unrefuted.push_back(Item.first);
    return Refuted || Expired;
  });
  for (const node_id &Node : Unrefuted)
    raiseState(Node, member_state::dead, Now);
}

void membership::raiseState(const node_id &Node, member_state State,
                            instant Now) {
  const member_record *Known = Table.find(Node);
  if (!Known || Known->State >= State || Node == Self.Node)
    return;
  if (State == member_state::suspect)
    ++Counts.Suspected;
  else
    ++Counts.Dead;
  member_record Changed = *Known;
  Changed.State = State;
  mergeRecord(Changed, Now);
}

void membership::mergeRecord(const member_record &Record, instant Now) {
  const member_record *Known = Table.find(Record.Node);
  bool Returned = Known && Known->State == member_state::dead &&
                  Record.State == member_state::alive;
  bool Refuted = Known && Known->State == member_state::suspect &&
                 Record.State == member_state::alive;
  bool Leaves = isUrgent(Record) && !(Known && isUrgent(*Known));
  bool Urgent = Refuted || Leaves || Record.Node == Self.Node;
  if (!Table.merge(Record, Now))
    return;
  if (Returned && !Table.dead().empty()) {
    RejoinEnds = Now + Settings.RejoinPeriod;
    NextDeadProbe = std::min(NextDeadProbe, Now + Settings.RejoinProbeInterval);
  }
  LastChange = Now;
  ++ChangesSincePull;
  RecordUpdates.add(Record.Node, Urgent ? update_priority::urgent
                                        : update_priority::ordinary);
  EagerUpdatesPending = true;
}

void membership::mergeReported(const member_record &Record,
                               bool TrustFailureReports, instant Now) {
  if (!isValid(Record))
    return;
  if (Record.Node == Self.Node) {
    refuteOwnRecord(Record, Now);
    return;
  }
  const member_record *Known = Table.find(Record.Node);
  if (!Known && Table.entries().size() >= MaxMembers)
    return;
  bool ReportsFailure = Record.State != member_state::alive;
  if (ReportsFailure && !TrustFailureReports)
    return;
  if (Record.State != member_state::dead) {
    bool Disputes = Known && Known->State == member_state::dead &&
                    Known->Incarnation == Record.Incarnation;
    if (Disputes)
      markDisputed(Record.Node);
    mergeRecord(Record, Now);
    return;
  }
  if (!Known || !supersedes(Record, *Known))
    return;
  // A node that is alive in the local table gets time to refute the report.
  if (Known->State != member_state::alive ||
      Known->Incarnation != Record.Incarnation) {
    mergeRecord(Record, Now);
    return;
  }
  instant Expires = Now + Settings.SuspicionTimeout * DeathReportTimeouts;
  DeathReports.try_emplace(Record.Node,
                           death_report{Record.Incarnation, Expires});
  markDisputed(Record.Node);
}

void membership::refuteOwnRecord(const member_record &Record, instant Now) {
  if (!supersedes(Record, Self) || !Identity.shouldRefute(Record, Self, Now))
    return;
  ++Counts.Refuted;
  Self.Incarnation = std::max(Self.Incarnation, Record.Incarnation);
  raiseOwnIncarnation(Now);
}

void membership::raiseOwnIncarnation(instant Now) {
  Self.Incarnation = Self.Incarnation.next();
  mergeRecord(Self, Now);
}

void membership::updateWorker(const worker_record &Worker, instant Now) {
  if (Self.Worker == Worker)
    return;
  Self.Worker = Worker;
  raiseOwnIncarnation(Now);
}

void membership::setLeaving(instant Now) {
  Self.Leaving = true;
  raiseOwnIncarnation(Now);
}

void membership::setWatcher(bool Watcher, instant Now) {
  if (Self.Watcher == Watcher)
    return;
  Self.Watcher = Watcher;
  raiseOwnIncarnation(Now);
}

void membership::setHead(const config_head &NewHead) {
  if (NewHead.Number <= Head.Number)
    return;
  Head = NewHead;
  EagerHeadPending = true;
  if (Head.Number >= HighestHead.Number)
    HighestHead = Head;
}

bool membership::offerMove(const move_progress &Progress) {
  auto [Position, Inserted] = Moves.try_emplace(Progress.Id, Progress);
  if (!Inserted) {
    move_progress Joined = join(Position->second, Progress);
    if (Joined == Position->second)
      return false;
    Position->second = Joined;
  }
  MoveUpdates.add(Progress.Id, update_priority::urgent);
  ++MoveRevision;
  EagerUpdatesPending = true;
  return true;
}

void membership::keepMoves(const std::vector<move_id> &Ids) {
  std::size_t Dropped = std::erase_if(Moves, [&](const auto &Item) {
    return std::find(Ids.begin(), Ids.end(), Item.first) == Ids.end();
  });
  MoveRevision += Dropped;
}

// Receiving.

void membership::mergeMessage(const gossip_message &Message,
                              const address &From, instant Now) {
  if (Message.Sender.State == member_state::alive)
    mergeReported(Message.Sender, true, Now);
  const member_record *Sender = Table.find(Message.Sender.Node);
  bool Trusted = Sender && Sender->State != member_state::dead;
  for (const member_record &Record : Message.Records)
    mergeReported(Record, Trusted, Now);
  for (const move_progress &Progress : Message.Moves)
    offerMove(Progress);
  if (Message.Head.Number > HighestHead.Number) {
    HighestHead = Message.Head;
    HighestHeadPeer = From;
  }
  if (Message.TableDigest != digest())
    PullTarget = From;
}

std::vector<addressed_message>
membership::receive(const gossip_message &Message, const address &From,
                    instant Now) {
  messages Out;
  if (Message.Fleet != Fleet || !isValid(Message.Sender) || From == Self.Peer)
    return Out;
  if (Message.Sender.Node == Self.Node) {
    refuteOwnRecord(Message.Sender, Now);
    return Out;
  }
  LastReceivedAt = Now;
  mergeMessage(Message, From, Now);
  switch (Message.Kind) {
  case gossip_kind::ping:
    answerPing(Message, From, Now, Out);
    break;
  case gossip_kind::ack:
    onAck(Message, Now, Out);
    break;
  case gossip_kind::ping_request:
    onPingRequest(Message, From, Now, Out);
    break;
  case gossip_kind::pull:
    answerPull(Message, From, Now, Out);
    break;
  case gossip_kind::pull_answer:
    returnMissing(Message, From, Now, Out);
    break;
  case gossip_kind::push:
    break;
  }
  if (EagerUpdatesPending || EagerHeadPending)
    pushUpdates(Now, Out);
  pullIfDue(Now, Out);
  return Out;
}

void membership::answerPing(const gossip_message &Ping, const address &From,
                            instant Now, messages &Out) {
  gossip_message Ack = makeMessage(gossip_kind::ack, Ping.Sequence);
  // Sends the newer record back, so that a sender that is reported dead, or
  // that restarted with its clock behind, can refute it.
  const member_record *Known = Table.find(Ping.Sender.Node);
  if (Known && supersedes(*Known, Ping.Sender))
    Ack.Records.push_back(*Known);
  if (std::optional<update_priority> Lowest = affordableUpdates(Now))
    addUpdates(Ack, *Lowest);
  send(traffic_class::probe, From, std::move(Ack), Now, Out);
}

void membership::onAck(const gossip_message &Ack, instant Now, messages &Out) {
  if (Probe && Probe->Sequence == Ack.Sequence)
    Probe.reset();
  auto Found = RelayedPings.find(Ack.Sequence);
  if (Found == RelayedPings.end())
    return;
  send(traffic_class::probe, Found->second.Requester,
       makeMessage(gossip_kind::ack, Found->second.RequesterSequence), Now,
       Out);
  RelayedPings.erase(Found);
}

void membership::onPingRequest(const gossip_message &Request,
                               const address &From, instant Now,
                               messages &Out) {
  if (RelayedPings.size() >= MaxRelayedPings)
    RelayedPings.erase(RelayedPings.begin());
  RelayedPings[NextSequence] = {From, Request.Sequence};
  send(traffic_class::probe, Request.Target,
       makeMessage(gossip_kind::ping, NextSequence++), Now, Out);
}

void membership::answerPull(const gossip_message &Pull, const address &From,
                            instant Now, messages &Out) {
  if (Pull.BucketDigests.size() != member_table::BucketCount)
    return;
  ++Counts.PullsAnswered;
  gossip_message Answer = makeMessage(gossip_kind::pull_answer, 0);
  for (const auto &[Id, Progress] : Moves)
    if (Answer.Moves.size() < MaxMovesPerMessage)
      Answer.Moves.push_back(Progress);
  std::size_t First = Random.below(member_table::BucketCount);
  std::size_t Bytes = estimatedBytes(Answer);
  unsigned Answers = 0;
  for (std::size_t Step = 0; Step < member_table::BucketCount; ++Step) {
    std::size_t Bucket = (First + Step) % member_table::BucketCount;
    if (Pull.BucketDigests[Bucket] == Table.bucketDigests()[Bucket])
      continue;
    std::size_t Size = bytesOfBucket(Bucket);
    if (Bytes + Size > Settings.MaxDatagramBytes && !Answer.Records.empty()) {
      send(traffic_class::repair, From, std::move(Answer), Now, Out);
      if (++Answers == Settings.MaxPullAnswers)
        return;
      Answer = makeMessage(gossip_kind::pull_answer, 0);
      Bytes = estimatedBytes(Answer);
    }
    appendBucket(Bucket, Answer);
    Bytes += Size;
  }
  send(traffic_class::repair, From, std::move(Answer), Now, Out);
}

std::size_t membership::bytesOfBucket(std::size_t Bucket) const {
  std::size_t Bytes = 1;
  for (const member_table::entry *Entry : Table.bucket(Bucket))
    Bytes += estimatedBytes(Entry->Record);
  return Bytes;
}

void membership::appendBucket(std::size_t Bucket, gossip_message &Answer) {
  std::size_t Bytes = estimatedBytes(Answer);
  for (const member_table::entry *Entry : Table.bucket(Bucket)) {
    Bytes += estimatedBytes(Entry->Record);
    if (Bytes > Settings.MaxDatagramBytes)
      return;
    Answer.Records.push_back(Entry->Record);
  }
  Answer.CompleteBuckets.push_back(static_cast<std::uint8_t>(Bucket));
}

void membership::returnMissing(const gossip_message &Answer, const address &To,
                               instant Now, messages &Out) {
  std::map<node_id, const member_record *> PeerRecords;
  for (const member_record &Record : Answer.Records)
    PeerRecords[Record.Node] = &Record;
  gossip_message Missing = makeMessage(gossip_kind::push, 0);
  std::size_t Bytes = estimatedBytes(Missing);
  for (std::uint8_t Bucket : Answer.CompleteBuckets) {
    if (Bucket >= member_table::BucketCount)
      continue;
    for (const member_table::entry *Entry : Table.bucket(Bucket)) {
      auto Known = PeerRecords.find(Entry->Record.Node);
      bool Lacks = Known == PeerRecords.end()
                       ? Entry->Record.State != member_state::dead
                       : supersedes(Entry->Record, *Known->second);
      Bytes += Lacks ? estimatedBytes(Entry->Record) : 0;
      if (Lacks && Bytes <= Settings.MaxDatagramBytes)
        Missing.Records.push_back(Entry->Record);
    }
  }
  if (!Missing.Records.empty())
    send(traffic_class::repair, To, std::move(Missing), Now, Out);
}

} // namespace chivebeam
