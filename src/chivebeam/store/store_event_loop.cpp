#include "store/store_event_loop.h"

#include <algorithm>
#include <utility>

#include "store/verdict_record.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr unsigned WatchersPerDomain = 3;
constexpr seconds WatcherLeaseDuration{9};
/// The node treats its watcher lease as expired this long before the store
/// does.
constexpr milliseconds WatcherLeaseMargin{1'000};
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

store_event_loop::store_event_loop(asio::io_context &IoContext,
                                   config_store &SessionStore,
                                   config_store &CommitStore,
                                   store_identity Self, event_sink EventSink,
                                   std::unique_ptr<event_loop_clock> GivenClock)
    : Context(IoContext), Identity(std::move(Self)), Keys(Identity.Fleet),
      Sink(std::move(EventSink)),
      Clock(GivenClock ? std::move(GivenClock)
                       : std::make_unique<system_event_loop_clock>(IoContext)),
      Random(seedOf(Identity.Node)), RateLimiter(seedOf(Identity.Node)),
      Session(SessionStore, RateLimiter, *Clock),
      Commits(CommitStore, RateLimiter, *Clock),
      Lease(WatcherLeaseDuration, WatcherLeaseMargin) {}

void store_event_loop::start() {
  asio::co_spawn(Context, sessionLoop(), asio::detached);
}

void store_event_loop::handle(store_command Command) {
  if (auto *Size = std::get_if<fleet_size>(&Command)) {
    Fleet = *Size;
    RateLimiter.setFleetSize(Fleet.Nodes, Clock->now());
  } else if (auto *Change = std::get_if<source_applied>(&Command)) {
    AppliedSource = std::move(Change->Source);
    DeliveredNumber = std::max(DeliveredNumber, AppliedSource.Number);
  } else {
    queueVerdict(std::move(std::get<record_verdict>(Command)));
  }
}

void store_event_loop::queueVerdict(record_verdict Request) {
  for (record_verdict &Queued : VerdictQueue)
    if (Queued.Progress.Id == Request.Progress.Id) {
      Queued = std::move(Request);
      return;
    }
  if (VerdictQueue.size() >= MaxQueuedVerdicts)
    return;
  VerdictQueue.push_back(std::move(Request));
  if (!RecordingVerdicts)
    asio::co_spawn(Context, recordVerdicts(), asio::detached);
}

void store_event_loop::recordCallResult(bool Answered) {
  fireEvent(Answered ? "answered" : "failed");
}

void store_event_loop::fireEvent(std::string_view Event) {
  chart_step Step =
      shippedChart("store_session").step(State, Event, [](std::string_view) {
        return true;
      });
  State = Step.State;
  for (const std::string &Action : Step.Actions)
    runAction(Action);
}

void store_event_loop::runAction(std::string_view Action) {
  if (Action == "resume_pace")
    RateLimiter.recordSuccess();
  else if (Action == "back_off")
    RateLimiter.recordFailure();
  else if (Action == "report_up" || Action == "report_down")
    reportSession(Action == "report_up");
  else
    Sink(watcher_lease_changed{Action == "report_seat"});
}

void store_event_loop::reportSession(bool Up) {
  log_event("store_session").add("up", Up);
  Sink(session_changed{Up});
}

awaitable<void> store_event_loop::sessionLoop() {
  co_await Clock->sleep(RateLimiter.firstDelay());
  bool VerdictsRead = false;
  for (;;) {
    bool Answered = co_await refresh();
    if (Answered && !VerdictsRead)
      VerdictsRead = Answered = co_await readVerdicts();
    recordCallResult(Answered);
    if (Answered && RateLimiter.shouldTryWatcherLease(FreeLeaseIndexes.size(),
                                                      Fleet.NodesInDomain))
      co_await acquireWatcherLease();
    if (WatcherLeaseId != lease_id())
      co_await runWatcher();
    co_await Clock->wait(RateLimiter.pollDelay());
  }
}

awaitable<bool> store_event_loop::refresh() {
  result<range_answer> State = co_await Session.range(Keys.state(), true);
  if (!State)
    co_return false;
  LastRevision = State->Revision;
  updateWatchers(*State);
  co_return co_await applyHead(*State);
}

void store_event_loop::updateWatchers(const range_answer &State) {
  watchers_found Found;
  for (const store_entry &Entry : State.Entries) {
    if (!Entry.Key.starts_with(Keys.watcherLeases()))
      continue;
    if (std::optional<watcher_record> Holder = readWatcherRecord(Entry.Value);
        Holder && Holder->Peer != Identity.Peer)
      Found.Peers.push_back(Holder->Peer);
  }
  FreeLeaseIndexes.clear();
  for (unsigned Index = 0; Index < WatchersPerDomain; ++Index)
    if (!findKey(State, Keys.watcherLease(Identity.Domain, Index)))
      FreeLeaseIndexes.push_back(Index);
  Sink(std::move(Found));
  const store_entry *Own = findKey(State, WatcherLeaseKey);
  if (WatcherLeaseId != lease_id() &&
      (!Own || Own->Value != ownWatcherRecord()))
    Lease.released();
}

std::string store_event_loop::ownWatcherRecord() const {
  return writeWatcherRecord({Identity.Peer, WatcherLeaseId});
}

awaitable<bool> store_event_loop::applyHead(const range_answer &State) {
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
  if (Head.Number > DeliveredNumber && !co_await fetchSource(Head))
    co_return false;
  Sink(store_answered{Head.Number});
  store_revision SeenAt = Entry ? Entry->ModifiedAt : store_revision();
  if (Head.Number < AppliedSource.Number && Lease.isHeld(Clock->now()))
    co_await restoreSource(SeenAt, Head.Number);
  co_return true;
}

awaitable<bool> store_event_loop::fetchSource(const head_record &Head) {
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
        .add("remedy",
             "publish again; the stored source is missing or damaged");
    co_return true;
  }
  if (Source->Number > DeliveredNumber) {
    DeliveredNumber = Source->Number;
    Sink(source_found{std::move(*Source)});
  }
  co_return true;
}

awaitable<void> store_event_loop::restoreSource(store_revision SeenAt,
                                                config_number StoreNumber) {
  config_source Source = AppliedSource;
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

awaitable<bool> store_event_loop::readVerdicts() {
  result<range_answer> Verdicts = co_await Session.range(Keys.verdicts(), true);
  if (!Verdicts)
    co_return false;
  if (Verdicts->Revision < LastRevision)
    StateStale = true; // an old backup was restored; a watch sends no event
  for (const store_entry &Entry : Verdicts->Entries)
    if (checked<move_progress> Progress = readVerdict(Entry.Value))
      Sink(verdict_found{std::move(*Progress)});
  co_return true;
}

awaitable<bool> store_event_loop::createWatcherRecord(lease_id NewLease,
                                                      unsigned Index) {
  store_transaction Transaction;
  std::string Key = Keys.watcherLease(Identity.Domain, Index);
  std::string Value = writeWatcherRecord({Identity.Peer, NewLease});
  Transaction.Conditions.push_back({Key, store_revision()});
  Transaction.Puts.push_back({Key, Value, NewLease});
  result<transaction_answer> Created =
      co_await Session.commit(std::move(Transaction));
  if (Created)
    co_return Created->Succeeded;
  if (Created.error().Kind != error_kind::unknown_effect)
    co_return false;
  result<range_answer> Found = co_await Session.range(Key, false);
  co_return Found && !Found->Entries.empty() &&
      Found->Entries.front().Value == Value;
}

awaitable<void> store_event_loop::acquireWatcherLease() {
  unsigned Index = FreeLeaseIndexes[Random.below(FreeLeaseIndexes.size())];
  instant RequestedAt = Clock->now();
  result<lease_id> Granted = co_await Session.grantLease(WatcherLeaseDuration);
  if (!Granted)
    co_return;
  Lease.renewed(RequestedAt);
  bool Created = co_await createWatcherRecord(*Granted, Index);
  // A lease without a watcher record is left to expire; revoking it would cost
  // one more call.
  if (!Created || !Lease.isHeld(Clock->now())) {
    Lease.released();
    co_return;
  }
  WatcherLeaseId = *Granted;
  WatcherLeaseKey = Keys.watcherLease(Identity.Domain, Index);
  RateLimiter.setWatcherLeaseHeld(true, Clock->now());
  log_event("seat_taken").add("index", Index);
  fireEvent("seat_taken");
}

void store_event_loop::handleWatcherEvent(const watch_event &Event) {
  if (Event.Entry.Key == WatcherLeaseKey &&
      (Event.Deleted || Event.Entry.Value != ownWatcherRecord()))
    Lease.released();
  std::optional<watcher_record> Holder = readWatcherRecord(Event.Entry.Value);
  if (!Event.Deleted && Holder && Holder->Peer != Identity.Peer)
    Sink(watchers_found{{Holder->Peer}});
}

void store_event_loop::onWatchEvents(store_revision Revision,
                                     const std::vector<watch_event> &Events) {
  LastRevision = std::max(LastRevision, Revision);
  for (const watch_event &Event : Events) {
    if (Event.Entry.Key != Keys.head()) {
      handleWatcherEvent(Event);
      continue;
    }
    checked<head_record> Head = readHead(Event.Entry.Value);
    if (Head && !Event.Deleted && Head->Number > DeliveredNumber)
      NewHead = *Head;
    else
      StateStale = true;
  }
  if (NewHead || StateStale || !Lease.isHeld(Clock->now()))
    Clock->wake();
}

awaitable<void> store_event_loop::runWatch(std::shared_ptr<running_watch> Run) {
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

void store_event_loop::startWatch() {
  Watch = std::make_shared<running_watch>();
  asio::co_spawn(Context, runWatch(Watch), asio::detached);
}

awaitable<void> store_event_loop::stopWatch() {
  while (!Watch->Ended) {
    Session.cancelWatch();
    co_await Clock->wait(KeepAliveInterval);
  }
}

awaitable<bool> store_event_loop::renewWatcherLease() {
  instant RequestedAt = Clock->now();
  result<bool> Renewed = co_await Session.keepLease(WatcherLeaseId);
  recordCallResult(Renewed.has_value());
  if (Renewed && *Renewed)
    Lease.renewed(RequestedAt);
  co_return !Renewed || *Renewed;
}

void store_event_loop::retryLater() {
  RateLimiter.recordFailure();
  RetryAt = Clock->now() + RateLimiter.pollDelay();
}

awaitable<void> store_event_loop::applyUpdates() {
  if (std::optional<head_record> Head = std::exchange(NewHead, std::nullopt)) {
    if (co_await fetchSource(*Head))
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

void store_event_loop::restartEndedWatch() {
  if (!Watch->Ended)
    return;
  if (!Watch->RetryPlanned) {
    Watch->RetryPlanned = true;
    if (Watch->Compacted)
      StateStale = true; // events were missed; read the state instead
    retryLater();
  }
  if (!StateStale && Clock->now() >= RetryAt)
    startWatch();
}

microseconds store_event_loop::untilNextStep(instant NextKeepAlive) const {
  instant NextStepAt = std::min(NextKeepAlive, Lease.expiresAt());
  if (StateStale || Watch->Ended)
    NextStepAt = std::min(NextStepAt, RetryAt);
  if (NewHead || (Watch->Ended && !Watch->RetryPlanned))
    NextStepAt = Clock->now();
  return std::max(microseconds(0), NextStepAt - Clock->now());
}

awaitable<void> store_event_loop::runWatcher() {
  StateStale = true;
  RetryAt = Clock->now();
  instant NextKeepAlive = Clock->now() + KeepAliveInterval;
  co_await applyUpdates();
  startWatch();
  while (Lease.isHeld(Clock->now())) {
    if (Clock->now() >= NextKeepAlive) {
      NextKeepAlive = Clock->now() + KeepAliveInterval;
      bool Renewed = co_await renewWatcherLease();
      if (!Renewed)
        break;
      co_await readVerdicts();
    }
    co_await applyUpdates();
    restartEndedWatch();
    co_await Clock->wait(untilNextStep(NextKeepAlive));
  }
  endWatcherLease();
  co_await stopWatch();
}

void store_event_loop::endWatcherLease() {
  WatcherLeaseId = lease_id();
  WatcherLeaseKey.clear();
  Lease.released();
  RateLimiter.setWatcherLeaseHeld(false, Clock->now());
  log_event("seat_lost").add("domain", Identity.Domain);
  fireEvent("seat_lost");
}

awaitable<void> store_event_loop::reportVerdict(const move_id &Move) {
  result<range_answer> Found =
      co_await Commits.range(Keys.verdict(Move), false);
  if (!Found || Found->Entries.empty())
    co_return;
  if (checked<move_progress> Progress =
          readVerdict(Found->Entries.front().Value))
    Sink(verdict_found{std::move(*Progress)});
}

awaitable<void> store_event_loop::recordVerdicts() {
  RecordingVerdicts = true;
  while (!VerdictQueue.empty()) {
    record_verdict Request = VerdictQueue.front();
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
    VerdictQueue.erase(VerdictQueue.begin());
  }
  RecordingVerdicts = false;
}

} // namespace chivebeam
