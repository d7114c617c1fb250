#include "mesh/move_desk.h"

#include <algorithm>

#include "moves/sequential_evaluator.h"
#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// How long a node waits before it tries again to become the conductor.
constexpr milliseconds ClaimInterval{400};
/// Buckets beyond the old version's ninth tenth at which a call is slow: the
/// backend servers of one version differ in speed by more than two.
constexpr std::size_t SlowBucketMargin = 3;

/// A bad version must not get a tenth of its service's calls within seconds;
/// while one call in ten fails anyway, it could not be told from a good one.
constexpr double MaxOldFailureRate = 0.1;
/// The conductor's key lapses soon after its node died, since a bad version may
/// be on its way; another node takes over then.
constexpr seconds ConductorLease{2};
constexpr milliseconds ConductorKeepInterval{600};

evaluator_settings meshJudge() {
  evaluator_settings Settings;
  Settings.MaxOldFailureRate = MaxOldFailureRate;
  Settings.SlowBucketMargin = SlowBucketMargin;
  return Settings;
}

} // namespace

move_desk::move_desk(asio::io_context &IoContext, config_store &MoveStore,
                     const mesh_settings &MeshSettings,
                     const order_source &OrderSource, mesh_state &MeshState,
                     peer_hub &PeerHub)
    : Context(IoContext), Store(MoveStore), Settings(MeshSettings),
      Orders(OrderSource), State(MeshState), Hub(PeerHub),
      Judge(std::make_unique<sequential_evaluator>(meshJudge())),
      Decider(*Judge), Moves(Decider),
      Life(static_cast<std::uint64_t>(
          currentTime().time_since_epoch().count())) {}

void move_desk::takeOrder(const move_order &Order, store_revision At) {
  ordered_move &Move = Ordered[Order.Service];
  if (Move.At == At)
    return;
  log_event("move_ordered")
      .add("service", Order.Service)
      .add("to", Order.To)
      .add("within_ms", Order.Within.count() / 1'000)
      .add("revision", At);
  store_revision MoveAt = Move.MoveAt;
  Move = ordered_move();
  Move.Order = Order;
  Move.At = At;
  Move.MoveAt = MoveAt;
  // Until the conductor has begun, nothing goes to the new version.
  service_move Planned = order_coordinator::begin(
      At.value(), Order.Service, Order.To, Order.Within, State.knownRecords(),
      currentTime());
  State.takeMove(Planned);
}

void move_desk::takeMove(const service_move &Move, store_revision At) {
  Ordered[Move.Rule.Service].MoveAt = At;
  State.takeMove(Move);
}

void move_desk::takeConductor(const node_id &Node) {
  if (Conductor == Node)
    return;
  Conductor = Node;
  log_event("move_conductor").add("node", Node);
}

void move_desk::takeEvidence(const evidence_report &Report) {
  if (isConductor())
    Moves.addEvidence(Report, currentTime());
}

bool move_desk::isOpen(const ordered_move &Move) const {
  auto Found = State.moves().find(Move.Order.Service);
  return Move.At.value() > 0 && Found != State.moves().end() &&
         Found->second.isInProgress();
}

bool move_desk::anyOpen() const {
  return std::any_of(Ordered.begin(), Ordered.end(),
                     [this](const auto &Item) { return isOpen(Item.second); });
}

void move_desk::tick(instant Now) {
  if (!anyOpen())
    return;
  bool MayClaim = Conductor.empty() && !Claiming && !Resigned;
  if (MayClaim && Now >= ClaimAt) {
    ClaimAt = Now + ClaimInterval;
    Claiming = true;
    asio::co_spawn(Context, claim(), asio::detached);
  }
  if (isConductor() && Now >= KeptAt + ConductorKeepInterval) {
    KeptAt = Now;
    asio::co_spawn(Context, keepLease(), asio::detached);
  }
  for (auto &[Service, Move] : Ordered)
    if (isConductor() && isOpen(Move))
      conduct(Move, Now);
}

void move_desk::resign() {
  Resigned = true;
  if (!isConductor())
    return;
  conductorVanished();
  asio::co_spawn(Context, revokeLease(), asio::detached);
}

awaitable<void> move_desk::revokeLease() {
  result<void> Revoked = co_await Store.revokeLease(Lease);
  if (!Revoked) // it lapses by itself
    log_event("conductor_not_released").add("error", Revoked.error().text());
}

awaitable<void> move_desk::claim() {
  result<lease_id> Granted = co_await Store.grantLease(ConductorLease);
  if (!Granted) {
    Claiming = false;
    co_return;
  }
  Lease = *Granted;
  KeptAt = currentTime();
  store_transaction Change;
  Change.Conditions.push_back({mesh_keys::conductor(), store_revision()});
  Change.Puts.push_back({mesh_keys::conductor(), Settings.Node.str(), Lease});
  result<transaction_answer> Answer = co_await Store.commit(std::move(Change));
  Claiming = false;
  bool Claimed = Answer && Answer->Succeeded;
  if (Claimed && Resigned)
    co_return co_await revokeLease();
  if (Claimed)
    takeConductor(Settings.Node);
}

awaitable<void> move_desk::keepLease() {
  result<bool> Kept = co_await Store.keepLease(Lease);
  // While the store is away, whoever conducted goes on: what it decides is
  // written on the condition of what it read last.
  if (Kept && !*Kept)
    conductorVanished();
}

void move_desk::conduct(ordered_move &Move, instant Now) {
  const service_name &Service = Move.Order.Service;
  service_move Current = State.moves().at(Service);
  if (!Move.Running && !Move.Busy) {
    Move.Busy = true;
    asio::co_spawn(Context, tell(Service, move_verdict::none), asio::detached);
  }
  if (std::optional<move_progress> Next =
          Moves.decide(Current, State.knownRecords(), Now)) {
    Current.Progress = *Next;
    spread(Current);
  }
  if (Move.Busy)
    return;
  if (order_coordinator::canRecordVerdict(Current, Now)) {
    Move.Busy = true;
    asio::co_spawn(Context,
                   tell(Service, Current.Progress.Phase == move_phase::deciding
                                     ? move_verdict::done
                                     : move_verdict::taken_back),
                   asio::detached);
  } else if (Move.Written != Current.Progress) {
    Move.Busy = true;
    asio::co_spawn(Context, save(Service), asio::detached);
  }
}

void move_desk::spread(const service_move &Move) {
  State.takeMove(Move);
  Hub.broadcastMove(Move);
}

awaitable<bool> move_desk::commit(service_name Service, service_move Move,
                                  std::optional<store_put> Status) {
  store_transaction Change;
  // Nobody else has changed the move since it was read.
  Change.Conditions.push_back(
      {mesh_keys::move(Service), Ordered[Service].MoveAt});
  Change.Puts.push_back(
      {mesh_keys::move(Service), writeServiceMove(Move), lease_id()});
  if (Status)
    Change.Puts.push_back(std::move(*Status));
  result<transaction_answer> Answer = co_await Store.commit(std::move(Change));
  ordered_move &Ours = Ordered[Service];
  if (Answer && Answer->Succeeded) {
    Ours.MoveAt = Answer->Revision;
    co_return true;
  }
  // The answer was lost, or another conductor was first.
  result<range_answer> Seen =
      co_await Store.range(mesh_keys::move(Service), false);
  if (!Seen)
    co_return false;
  if (Seen->Entries.empty()) {
    Ours.MoveAt = store_revision();
    co_return false;
  }
  Ours.MoveAt = Seen->Entries.front().ModifiedAt;
  result<service_move> Stored = readServiceMove(Seen->Entries.front().Value);
  if (Stored)
    State.takeMove(*Stored);
  co_return Stored && Stored->Order == Move.Order &&
      Stored->Progress.Recorded ==
          Move.Progress.Recorded &&Move.Progress.Recorded != move_verdict::none;
}

awaitable<void> move_desk::save(service_name Service) {
  service_move Current = State.moves().at(Service);
  bool Saved = co_await commit(Service, Current, std::nullopt);
  ordered_move &Move = Ordered[Service];
  Move.Busy = false;
  if (Saved)
    Move.Written = Current.Progress;
}

awaitable<void> move_desk::tell(service_name Service, move_verdict Verdict) {
  service_move Current = State.moves().at(Service);
  Current.Progress.Recorded = Verdict;
  store_put Status{Orders.moveStatusKey(Service),
                   Orders.writeMoveStatus(Service, Current.Rule.To, Verdict),
                   lease_id()};
  // The move and what the operator reads change together.
  bool Told = co_await commit(Service, Current, std::move(Status));
  ordered_move &Move = Ordered[Service];
  Move.Busy = false;
  if (!Told || Move.At.value() != Current.Order)
    co_return;
  Move.Running = true;
  Move.Written = Current.Progress;
  log_event("move_status")
      .add("service", Service)
      .add("move", Current.Rule.Id)
      .add("verdict", toString(Verdict))
      .add("reason", Current.Progress.Reason);
  if (Verdict != move_verdict::none)
    spread(Current);
}

void move_desk::report(const service_name &Service, const version_name &Version,
                       const evidence_by_route &Evidence) {
  auto Found = State.moves().find(Service);
  if (Found == State.moves().end() || !Found->second.isInProgress())
    return;
  evidence_report Report;
  Report.Node = Settings.Node;
  Report.Life = Life;
  Report.Service = Service;
  Report.Version = Version;
  Report.Sequence = ++ReportSequence;
  Report.Routes = Evidence;
  if (isConductor())
    return takeEvidence(Report);
  peer_frame Frame = Hub.frame(frame_kind::evidence);
  Frame.Evidence = std::move(Report);
  Hub.send(Conductor, Frame);
}

} // namespace chivebeam
