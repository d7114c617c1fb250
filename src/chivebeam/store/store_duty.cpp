#include "store/store_duty.h"

#include <algorithm>
#include <utility>

#include "store/verdict_record.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr unsigned SeatsPerDomain = 3;
constexpr seconds SeatLease{9};
/// The holder stops believing in its seat so long before the store ends it.
constexpr milliseconds SeatMargin{1'000};
constexpr milliseconds KeepAliveInterval{3'000};
constexpr std::size_t MaxQueuedVerdicts = 64;
constexpr milliseconds VerdictRetryInterval{1'000};

std::uint64_t seedOf(const node_id &Node) {
  return std::hash<std::string>()(Node.str());
}

const store_entry *findKey(const range_answer &Answer, const std::string &Key) {
  for (const store_entry &Entry : Answer.Entries)
    if (Entry.Key == Key)
      return &Entry;
  return nullptr;
}

} // namespace

store_duty::store_duty(asio::io_context &IoContext, config_store &SessionStore,
                       config_store &CommitStore, store_identity Self,
                       event_sink EventSink,
                       std::unique_ptr<event_loop_clock> Given)
    : Context(IoContext), Identity(std::move(Self)), Keys(Identity.Fleet),
      Sink(std::move(EventSink)),
      Clock(Given ? std::move(Given)
                  : std::make_unique<system_event_loop_clock>(IoContext)),
      Random(seedOf(Identity.Node)), Pace(seedOf(Identity.Node)),
      Session(SessionStore, Pace, *Clock), Commits(CommitStore, Pace, *Clock),
      Lease(SeatLease, SeatMargin) {}

void store_duty::start() {
  asio::co_spawn(Context, sessionLoop(), asio::detached);
}

void store_duty::handle(store_command Command) {
  if (auto *Size = std::get_if<fleet_size>(&Command)) {
    Fleet = *Size;
    Pace.setFleetSize(Fleet.Nodes, Clock->now());
  } else if (auto *InForce = std::get_if<source_applied>(&Command)) {
    Applied = std::move(InForce->Source);
    Delivered = std::max(Delivered, Applied.Number);
  } else {
    queueVerdict(std::move(std::get<record_verdict>(Command)));
  }
}

void store_duty::queueVerdict(record_verdict Request) {
  for (record_verdict &Waiting : Queue)
    if (Waiting.Progress.Id == Request.Progress.Id) {
      Waiting = std::move(Request);
      return;
    }
  if (Queue.size() >= MaxQueuedVerdicts)
    return;
  Queue.push_back(std::move(Request));
  if (!Recording)
    asio::co_spawn(Context, recordVerdicts(), asio::detached);
}

void store_duty::setUp(bool NewUp) { fire(NewUp ? "answered" : "failed"); }

void store_duty::fire(std::string_view Event) {
  chart_step Step =
      shippedChart("store_session").step(State, Event, [](std::string_view) {
        return true;
      });
  State = Step.State;
  for (const std::string &Action : Step.Actions)
    act(Action);
}

void store_duty::act(std::string_view Action) {
  if (Action == "resume_pace")
    Pace.recordSuccess();
  else if (Action == "back_off")
    Pace.recordFailure();
  else if (Action == "report_up" || Action == "report_down")
    reportSession(Action == "report_up");
  else
    Sink(seat_changed{Action == "report_seat"});
}

void store_duty::reportSession(bool Up) {
  log_event("store_session").add("up", Up);
  Sink(session_changed{Up});
}

awaitable<void> store_duty::sessionLoop() {
  co_await Clock->sleep(Pace.firstDelay());
  bool VerdictsRead = false;
  for (;;) {
    bool Answered = co_await refresh();
    if (Answered && !VerdictsRead)
      VerdictsRead = Answered = co_await readVerdicts();
    setUp(Answered);
    if (Answered &&
        Pace.shouldTryWatcherLease(FreeSeats.size(), Fleet.NodesInDomain))
      co_await takeSeat();
    if (Seat != lease_id())
      co_await holdSeat();
    co_await Clock->wait(Pace.pollDelay());
  }
}

awaitable<bool> store_duty::refresh() {
  result<range_answer> State = co_await Session.range(Keys.state(), true);
  if (!State)
    co_return false;
  LastRevision = State->Revision;
  takeContacts(*State);
  co_return co_await takeHead(*State);
}

void store_duty::takeContacts(const range_answer &State) {
  contacts_found Found;
  for (const store_entry &Entry : State.Entries) {
    if (!Entry.Key.starts_with(Keys.seats()))
      continue;
    if (std::optional<seat_record> Holder = readSeat(Entry.Value);
        Holder && Holder->Peer != Identity.Peer)
      Found.Peers.push_back(Holder->Peer);
  }
  FreeSeats.clear();
  for (unsigned Index = 0; Index < SeatsPerDomain; ++Index)
    if (!findKey(State, Keys.seat(Identity.Domain, Index)))
      FreeSeats.push_back(Index);
  Sink(std::move(Found));
  const store_entry *Own = findKey(State, SeatKey);
  if (Seat != lease_id() && (!Own || Own->Value != ownSeat()))
    Lease.released();
}

std::string store_duty::ownSeat() const {
  return writeSeat({Identity.Peer, Seat});
}

awaitable<bool> store_duty::takeHead(const range_answer &State) {
  const store_entry *Entry = findKey(State, Keys.head());
  head_record Head;
  if (Entry) {
    checked<head_record> Read = readHead(Entry->Value);
    if (!Read) {
      log_event("head_unreadable").add("error", Read.error().front().text());
      co_return true;
    }
    Head = *Read;
  }
  if (Head.Number > Delivered && !co_await readSourceOf(Head))
    co_return false;
  Sink(store_answered{Head.Number});
  store_revision SeenAt = Entry ? Entry->ModifiedAt : store_revision();
  if (Head.Number < Applied.Number && Lease.isHeld(Clock->now()))
    co_await putBack(SeenAt, Head.Number);
  co_return true;
}

awaitable<bool> store_duty::readSourceOf(const head_record &Head) {
  result<range_answer> Stored =
      co_await Session.range(Keys.source(Head.Number), false);
  if (!Stored)
    co_return false;
  checked<config_source> Source = tl::unexpected(error_list{});
  if (!Stored->Entries.empty())
    Source = readSource(Stored->Entries.front().Value);
  if (!Source || Source->Number != Head.Number) {
    log_event("source_unreadable")
        .add("number", Head.Number)
        .add("remedy", "publish again; the store's copy is missing or damaged");
    co_return true;
  }
  if (Source->Number > Delivered) {
    Delivered = Source->Number;
    Sink(source_found{std::move(*Source)});
  }
  co_return true;
}

awaitable<void> store_duty::putBack(store_revision SeenAt,
                                    config_number StoreNumber) {
  config_source Source = Applied;
  store_transaction Transaction;
  Transaction.Conditions.push_back({Keys.head(), SeenAt});
  Transaction.Puts.push_back(
      {Keys.head(), writeHead({Source.Number, Source.Id}), lease_id()});
  Transaction.Puts.push_back(
      {Keys.source(Source.Number), writeSource(Source), lease_id()});
  result<transaction_answer> Done =
      co_await Session.commit(std::move(Transaction));
  std::string_view Outcome = Done ? Done->Succeeded ? "done" : "lost_race"
                                  : toString(Done.error().Kind);
  log_event("store_put_back")
      .add("store_number", StoreNumber)
      .add("number", Source.Number)
      .add("outcome", Outcome);
}

awaitable<bool> store_duty::readVerdicts() {
  result<range_answer> Verdicts = co_await Session.range(Keys.verdicts(), true);
  if (!Verdicts)
    co_return false;
  if (Verdicts->Revision < LastRevision)
    StateStale = true; // restored from an old copy; a watch would stay silent
  for (const store_entry &Entry : Verdicts->Entries)
    if (checked<move_progress> Progress = readVerdict(Entry.Value))
      Sink(verdict_found{std::move(*Progress)});
  co_return true;
}

awaitable<bool> store_duty::claimSeat(lease_id NewLease, unsigned Index) {
  store_transaction Transaction;
  std::string Key = Keys.seat(Identity.Domain, Index);
  std::string Value = writeSeat({Identity.Peer, NewLease});
  Transaction.Conditions.push_back({Key, store_revision()});
  Transaction.Puts.push_back({Key, Value, NewLease});
  result<transaction_answer> Taken =
      co_await Session.commit(std::move(Transaction));
  if (Taken)
    co_return Taken->Succeeded;
  if (Taken.error().Kind != error_kind::unknown_effect)
    co_return false;
  result<range_answer> Found = co_await Session.range(Key, false);
  co_return Found && !Found->Entries.empty() &&
      Found->Entries.front().Value == Value;
}

awaitable<void> store_duty::takeSeat() {
  unsigned Index = FreeSeats[Random.below(FreeSeats.size())];
  instant AskedAt = Clock->now();
  result<lease_id> Granted = co_await Session.grantLease(SeatLease);
  if (!Granted)
    co_return;
  Lease.renewed(AskedAt);
  bool Taken = co_await claimSeat(*Granted, Index);
  // A lease without a seat is left to lapse; ending it would be one more call.
  if (!Taken || !Lease.isHeld(Clock->now())) {
    Lease.released();
    co_return;
  }
  Seat = *Granted;
  SeatKey = Keys.seat(Identity.Domain, Index);
  Pace.setWatcherLeaseHeld(true, Clock->now());
  log_event("seat_taken").add("index", Index);
  fire("seat_taken");
}

void store_duty::takeSeatEvent(const watch_event &Event) {
  if (Event.Entry.Key == SeatKey &&
      (Event.Deleted || Event.Entry.Value != ownSeat()))
    Lease.released();
  std::optional<seat_record> Holder = readSeat(Event.Entry.Value);
  if (!Event.Deleted && Holder && Holder->Peer != Identity.Peer)
    Sink(contacts_found{{Holder->Peer}});
}

void store_duty::onWatchEvents(store_revision Revision,
                               const std::vector<watch_event> &Events) {
  LastRevision = std::max(LastRevision, Revision);
  for (const watch_event &Event : Events) {
    if (Event.Entry.Key != Keys.head()) {
      takeSeatEvent(Event);
      continue;
    }
    checked<head_record> Head = readHead(Event.Entry.Value);
    if (Head && !Event.Deleted && Head->Number > Delivered)
      NewHead = *Head;
    else
      StateStale = true;
  }
  if (NewHead || StateStale || !Lease.isHeld(Clock->now()))
    Clock->wake();
}

awaitable<void> store_duty::runWatch(std::shared_ptr<running_watch> Run) {
  error Reason = co_await Session.watch(
      Keys.state(), LastRevision.next(),
      [this](store_revision Revision, const std::vector<watch_event> &Events) {
        onWatchEvents(Revision, Events);
      });
  log_event("watch_ended").add("reason", Reason.text());
  Run->Compacted = Reason.Kind == error_kind::not_found;
  Run->Ended = true;
  Clock->wake();
}

void store_duty::startWatch() {
  Watch = std::make_shared<running_watch>();
  asio::co_spawn(Context, runWatch(Watch), asio::detached);
}

awaitable<void> store_duty::stopWatch() {
  while (!Watch->Ended) {
    Session.cancelWatch();
    co_await Clock->wait(KeepAliveInterval);
  }
}

awaitable<bool> store_duty::keepSeat() {
  instant AskedAt = Clock->now();
  result<bool> Kept = co_await Session.keepLease(Seat);
  setUp(Kept.has_value());
  if (Kept && *Kept)
    Lease.renewed(AskedAt);
  co_return !Kept || *Kept;
}

void store_duty::retryLater() {
  Pace.recordFailure();
  RetryAt = Clock->now() + Pace.pollDelay();
}

awaitable<void> store_duty::takeNews() {
  if (std::optional<head_record> Head = std::exchange(NewHead, std::nullopt)) {
    if (co_await readSourceOf(*Head))
      Sink(store_answered{Head->Number});
    else
      StateStale = true;
  }
  if (!StateStale || Clock->now() < RetryAt)
    co_return;
  StateStale = false;
  if (co_await refresh())
    co_return;
  StateStale = true;
  retryLater();
}

void store_duty::repairWatch() {
  if (!Watch->Ended)
    return;
  if (!Watch->Noticed) {
    Watch->Noticed = true;
    if (Watch->Compacted)
      StateStale = true; // events were missed; read what they would have told
    retryLater();
  }
  if (!StateStale && Clock->now() >= RetryAt)
    startWatch();
}

microseconds store_duty::untilNextStep(instant NextKeepAlive) const {
  instant Until = std::min(NextKeepAlive, Lease.expiresAt());
  if (StateStale || Watch->Ended)
    Until = std::min(Until, RetryAt);
  if (NewHead || (Watch->Ended && !Watch->Noticed))
    Until = Clock->now();
  return std::max(microseconds(0), Until - Clock->now());
}

awaitable<void> store_duty::holdSeat() {
  StateStale = true;
  RetryAt = Clock->now();
  instant NextKeepAlive = Clock->now() + KeepAliveInterval;
  co_await takeNews();
  startWatch();
  while (Lease.isHeld(Clock->now())) {
    if (Clock->now() >= NextKeepAlive) {
      NextKeepAlive = Clock->now() + KeepAliveInterval;
      bool Kept = co_await keepSeat();
      if (!Kept)
        break;
      co_await readVerdicts();
    }
    co_await takeNews();
    repairWatch();
    co_await Clock->wait(untilNextStep(NextKeepAlive));
  }
  dropSeat();
  co_await stopWatch();
}

void store_duty::dropSeat() {
  Seat = lease_id();
  SeatKey.clear();
  Lease.released();
  Pace.setWatcherLeaseHeld(false, Clock->now());
  log_event("seat_lost").add("domain", Identity.Domain);
  fire("seat_lost");
}

awaitable<void> store_duty::reportVerdict(const move_id &Move) {
  result<range_answer> Found =
      co_await Commits.range(Keys.verdict(Move), false);
  if (!Found || Found->Entries.empty())
    co_return;
  if (checked<move_progress> Progress =
          readVerdict(Found->Entries.front().Value))
    Sink(verdict_found{std::move(*Progress)});
}

awaitable<void> store_duty::recordVerdicts() {
  Recording = true;
  while (!Queue.empty()) {
    record_verdict Request = Queue.front();
    const move_progress &Progress = Request.Progress;
    store_transaction Transaction;
    std::string Key = Keys.verdict(Progress.Id);
    Transaction.Conditions.push_back({Key, store_revision()});
    Transaction.Puts.push_back(
        {Key, writeVerdict(Progress, Clock->now()), lease_id()});
    Transaction.Puts.push_back(
        {Keys.journal(Progress.Id), Request.Journal, lease_id()});
    result<transaction_answer> Done =
        co_await Commits.commit(std::move(Transaction));
    if (!Done) {
      co_await Clock->sleep(VerdictRetryInterval);
      continue;
    }
    log_event("verdict_recorded")
        .add("move", Progress.Id)
        .add("first", Done->Succeeded);
    co_await reportVerdict(Progress.Id);
    Queue.erase(Queue.begin());
  }
  Recording = false;
}

} // namespace chivebeam
