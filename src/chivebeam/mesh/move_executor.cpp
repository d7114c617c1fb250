#include "mesh/move_executor.h"

#include <algorithm>

#include "moves/sequential_evaluator.h"
#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// Time between attempts of a node to become the coordinator.
constexpr milliseconds AcquireInterval{400};
/// Number of histogram buckets above the old version's 90th percentile from
/// which a call counts as slow. The speeds of the backend servers of one
/// version differ by a factor of more than two.
constexpr std::size_t SlowBucketMargin = 3;

/// Limit on the failure rate of the old version. A bad version must not get a
/// tenth of its service's calls within seconds; if the old version already
/// fails one call in ten, a bad version cannot be distinguished from a good
/// one.
constexpr double MaxOldFailureRate = 0.1;
/// The lease of the coordinator's key is short, so that another node takes over
/// soon after the coordinator's death: a move to a bad version may be in
/// progress.
constexpr seconds CoordinatorLeaseDuration{2};
constexpr milliseconds CoordinatorLeaseRenewInterval{600};

/// Revisions stay below this limit, so that orders of a later era have higher
/// numbers.
constexpr unsigned RevisionBits = 40;

std::uint64_t orderNumber(store_era Era, store_revision Revision) {
  return (Era.value() << RevisionBits) | Revision.value();
}

store_era eraOf(std::uint64_t OrderNumber) {
  return store_era(OrderNumber >> RevisionBits);
}

/// Orders of a service that are remembered, to recognize them in a later era.
constexpr std::size_t MaxEarlierOrders = 16;

evaluator_settings meshEvaluatorSettings() {
  evaluator_settings Settings;
  Settings.MaxOldFailureRate = MaxOldFailureRate;
  Settings.SlowBucketMargin = SlowBucketMargin;
  return Settings;
}

} // namespace

move_executor::move_executor(asio::io_context &IoContext,
                             config_store &MoveStore,
                             const mesh_settings &MeshSettings,
                             const operator_document_format &Format,
                             mesh_state &MeshState, peer_hub &PeerHub)
    : Context(IoContext), Store(MoveStore), Settings(MeshSettings),
      DocumentFormat(Format), State(MeshState), Hub(PeerHub),
      Evaluator(
          std::make_unique<sequential_evaluator>(meshEvaluatorSettings())),
      Decider(*Evaluator), OrderCoordinator(Decider),
      Incarnation(static_cast<std::uint64_t>(
          currentTime().time_since_epoch().count())) {}

bool move_executor::isKnownOrder(ordered_move &Move, const move_order &Order,
                                 store_revision KeyRevision) {
  store_era CurrentEra = State.era();
  if (Move.Number > 0 && Move.Era == CurrentEra)
    return Move.KeyRevision == KeyRevision;
  // The revisions of an earlier era say nothing, so the order is compared. The
  // store may also show an order that the known one has replaced, until the
  // operator writes that one again.
  if (Move.Number > 0 && std::find(Move.Earlier.begin(), Move.Earlier.end(),
                                   Order) != Move.Earlier.end())
    return true;
  bool IsSame = Move.Number > 0 && Move.Order == Order;
  // This node may not have read the order in the earlier era.
  auto Found = State.moves().find(Order.Service);
  bool PeersKnow = Move.Number == 0 && Found != State.moves().end() &&
                   Found->second.Rule.To == Order.To &&
                   eraOf(Found->second.Order) < CurrentEra;
  if (PeersKnow) {
    Move.Order = Order;
    Move.Number = Found->second.Order;
  }
  if (IsSame || PeersKnow) {
    Move.Era = CurrentEra;
    Move.KeyRevision = KeyRevision;
  }
  return IsSame || PeersKnow;
}

void move_executor::applyOrder(const move_order &Order,
                               store_revision KeyRevision) {
  ordered_move &Move = OrderedMoves[Order.Service];
  if (isKnownOrder(Move, Order, KeyRevision))
    return;
  store_era CurrentEra = State.era();
  log_event("move_ordered")
      .add("service", Order.Service)
      .add("to", Order.To)
      .add("within_ms", Order.Within.count() / 1'000)
      .add("revision", KeyRevision);
  store_revision MoveKeyRevision = Move.MoveKeyRevision;
  std::vector<move_order> Earlier = std::move(Move.Earlier);
  if (Move.Number > 0)
    Earlier.push_back(Move.Order);
  if (Earlier.size() > MaxEarlierOrders)
    Earlier.erase(Earlier.begin());
  Move = ordered_move();
  Move.Earlier = std::move(Earlier);
  Move.Order = Order;
  Move.Era = CurrentEra;
  Move.KeyRevision = KeyRevision;
  Move.Number = orderNumber(CurrentEra, KeyRevision);
  Move.MoveKeyRevision = MoveKeyRevision;
  // The new version gets no calls until the coordinator has started the move.
  service_move Planned = order_coordinator::begin(
      Move.Number, Order.Service, Order.To, Order.Within, State.knownRecords(),
      currentTime());
  State.applyMove(Planned);
}

void move_executor::applyMove(const service_move &Move,
                              store_revision KeyRevision) {
  ordered_move &Known = OrderedMoves[Move.Rule.Service];
  Known.MoveKeyRevision = KeyRevision;
  if (Move.Progress.Recorded != move_verdict::none &&
      Move.Order >= Known.Number)
    Known.VerdictMayBeLost = false;
  State.applyMove(Move);
}

void move_executor::forgetStore(store_era RisenEra) {
  clearCoordinator();
  Lease = lease_id();
  for (auto &[Service, Move] : OrderedMoves) {
    Move.MoveKeyRevision = store_revision();
    Move.StartReported = false;
    Move.StoredProgress = move_progress();
    Move.VerdictMayBeLost = Move.Number > 0 && !isInProgress(Move);
  }
  log_event("moves_read_again")
      .add("era", RisenEra)
      .add("moves", OrderedMoves.size());
}

void move_executor::setCoordinator(const node_id &Node) {
  if (CoordinatorNode == Node)
    return;
  CoordinatorNode = Node;
  log_event("move_conductor").add("node", Node);
  State.setCoordinating(isCoordinator());
}

void move_executor::handleEvidence(const evidence_report &Report) {
  if (isCoordinator())
    OrderCoordinator.addEvidence(Report, currentTime());
}

bool move_executor::isInProgress(const ordered_move &Move) const {
  auto Found = State.moves().find(Move.Order.Service);
  return Move.Number > 0 && Found != State.moves().end() &&
         Found->second.isInProgress();
}

bool move_executor::isOpen(const ordered_move &Move) const {
  return isInProgress(Move) || Move.VerdictMayBeLost;
}

bool move_executor::hasOpenMoves() const {
  return std::any_of(OrderedMoves.begin(), OrderedMoves.end(),
                     [this](const auto &Item) { return isOpen(Item.second); });
}

void move_executor::tick(instant Now) {
  if (!hasOpenMoves())
    return;
  bool MayAcquire = State.ownRecord().Watches && CoordinatorNode.empty() &&
                    !AcquiringKey && !Resigned;
  if (MayAcquire && Now >= NextAcquireAt) {
    NextAcquireAt = Now + AcquireInterval;
    AcquiringKey = true;
    asio::co_spawn(Context, acquireCoordinatorKey(), asio::detached);
  }
  if (isCoordinator() &&
      Now >= LeaseRenewedAt + CoordinatorLeaseRenewInterval) {
    LeaseRenewedAt = Now;
    asio::co_spawn(Context, keepLease(), asio::detached);
  }
  for (auto &[Service, Move] : OrderedMoves)
    if (isCoordinator() && isOpen(Move))
      coordinate(Move, Now);
}

void move_executor::resign() {
  Resigned = true;
  if (!isCoordinator())
    return;
  clearCoordinator();
  asio::co_spawn(Context, revokeLease(), asio::detached);
}

awaitable<void> move_executor::revokeLease() {
  result<void> Revoked = co_await Store.revokeLease(Lease);
  if (!Revoked) // the lease expires on its own
    log_event("conductor_not_released").add("error", Revoked.error().text());
}

awaitable<void> move_executor::acquireCoordinatorKey() {
  instant RequestedAt = currentTime();
  result<lease_id> Granted =
      co_await Store.grantLease(CoordinatorLeaseDuration);
  if (!Granted) {
    AcquiringKey = false;
    co_return;
  }
  Lease = *Granted;
  LeaseRenewedAt = currentTime();
  LeaseEndsAt = RequestedAt + CoordinatorLeaseDuration;
  store_transaction Change;
  Change.Conditions.push_back({mesh_keys::coordinator(), store_revision()});
  Change.Puts.push_back({mesh_keys::coordinator(), Settings.Node.str(), Lease});
  result<transaction_answer> Answer = co_await Store.commit(std::move(Change));
  AcquiringKey = false;
  bool Acquired = Answer && Answer->Succeeded;
  if (Acquired && Resigned)
    co_return co_await revokeLease();
  if (Acquired)
    setCoordinator(Settings.Node);
}

awaitable<void> move_executor::keepLease() {
  instant RequestedAt = currentTime();
  result<bool> Renewed = co_await Store.keepLease(Lease);
  if (Renewed && *Renewed)
    LeaseEndsAt = RequestedAt + CoordinatorLeaseDuration;
  else if (Renewed)
    clearCoordinator();
}

void move_executor::coordinate(ordered_move &Move, instant Now) {
  const service_name &Service = Move.Order.Service;
  service_move Current = State.moves().at(Service);
  if (!Current.isInProgress()) {
    if (std::exchange(Move.WritePending, true))
      return;
    asio::co_spawn(Context, recordVerdict(Service, Current.Progress.Recorded),
                   asio::detached);
    return;
  }
  if (!Move.StartReported && !Move.WritePending) {
    Move.WritePending = true;
    asio::co_spawn(Context, recordVerdict(Service, move_verdict::none),
                   asio::detached);
  }
  if (std::optional<move_progress> Next = OrderCoordinator.decide(
          Current, State.knownRecords(), Now, Now < LeaseEndsAt)) {
    Current.Progress = *Next;
    publishMove(Current);
  }
  if (Move.WritePending)
    return;
  if (order_coordinator::canRecordVerdict(Current, Now)) {
    Move.WritePending = true;
    asio::co_spawn(
        Context,
        recordVerdict(Service, Current.Progress.Phase == move_phase::deciding
                                   ? move_verdict::done
                                   : move_verdict::taken_back),
        asio::detached);
  } else if (Move.StoredProgress != Current.Progress) {
    Move.WritePending = true;
    asio::co_spawn(Context, saveProgress(Service), asio::detached);
  }
}

void move_executor::publishMove(const service_move &Move) {
  // Subscribers learn of it as of any newer move.
  State.applyMove(Move);
}

awaitable<bool> move_executor::commit(service_name Service, service_move Move,
                                      std::optional<store_put> Status) {
  store_transaction Change;
  // The write fails if another node has changed the move since it was read.
  Change.Conditions.push_back(
      {mesh_keys::move(Service), OrderedMoves[Service].MoveKeyRevision});
  Change.Puts.push_back(
      {mesh_keys::move(Service), writeServiceMove(Move), lease_id()});
  if (Status)
    Change.Puts.push_back(std::move(*Status));
  result<transaction_answer> Answer = co_await Store.commit(std::move(Change));
  ordered_move &Tracked = OrderedMoves[Service];
  if (Answer && Answer->Succeeded) {
    Tracked.MoveKeyRevision = Answer->Revision;
    co_return true;
  }
  // The answer was lost, or another coordinator wrote first.
  result<range_answer> Listing =
      co_await Store.range(mesh_keys::move(Service), false);
  if (!Listing)
    co_return false;
  if (Listing->Entries.empty()) {
    Tracked.MoveKeyRevision = store_revision();
    co_return false;
  }
  Tracked.MoveKeyRevision = Listing->Entries.front().ModifiedAt;
  result<service_move> Stored = readServiceMove(Listing->Entries.front().Value);
  if (Stored)
    State.applyMove(*Stored);
  co_return Stored && Stored->Order == Move.Order &&
      Stored->Progress.Recorded ==
          Move.Progress.Recorded &&Move.Progress.Recorded != move_verdict::none;
}

awaitable<void> move_executor::saveProgress(service_name Service) {
  service_move Current = State.moves().at(Service);
  bool Saved = co_await commit(Service, Current, std::nullopt);
  ordered_move &Move = OrderedMoves[Service];
  Move.WritePending = false;
  if (Saved)
    Move.StoredProgress = Current.Progress;
}

awaitable<void> move_executor::recordVerdict(service_name Service,
                                             move_verdict Verdict) {
  service_move Current = State.moves().at(Service);
  Current.Progress.Recorded = Verdict;
  store_put Status{
      DocumentFormat.moveStatusKey(Service),
      DocumentFormat.writeMoveStatus(Service, Current.Rule.To, Verdict),
      lease_id()};
  // Writes the move and the status that the operator reads in one transaction.
  bool Committed = co_await commit(Service, Current, std::move(Status));
  ordered_move &Move = OrderedMoves[Service];
  Move.WritePending = false;
  if (!Committed || Move.Number != Current.Order)
    co_return;
  Move.StartReported = true;
  Move.VerdictMayBeLost = false;
  Move.StoredProgress = Current.Progress;
  log_event("move_status")
      .add("service", Service)
      .add("move", Current.Rule.Id)
      .add("verdict", toString(Verdict))
      .add("reason", Current.Progress.Reason);
  if (Verdict != move_verdict::none)
    publishMove(Current);
}

void move_executor::sendEvidence(const service_name &Service,
                                 const version_name &Version,
                                 const evidence_by_route &Evidence) {
  auto Found = State.moves().find(Service);
  if (Found == State.moves().end() || !Found->second.isInProgress())
    return;
  evidence_report Report;
  Report.Node = Settings.Node;
  Report.Life = Incarnation;
  Report.Service = Service;
  Report.Version = Version;
  Report.Sequence = ++ReportSequence;
  Report.Routes = Evidence;
  if (isCoordinator())
    return handleEvidence(Report);
  peer_frame Frame = Hub.frame(frame_kind::evidence);
  Frame.Evidence = std::move(Report);
  // After a hand-over, the record of the previous coordinator may still name
  // it; a node that does not coordinate ignores the report.
  for (const home_record &Record : State.directory().records())
    if (Record.Coordinates && Record.Node != Settings.Node)
      Hub.send(Record.Node, Frame);
}

} // namespace chivebeam
