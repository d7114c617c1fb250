#include "mesh/store_subscription.h"

#include <algorithm>

#include "net/clock.h"
#include "net/jitter.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr microseconds MinBackoff = milliseconds(50);
constexpr microseconds MaxBackoff = milliseconds(700);
/// Changes that follow each other within this time are a burst, in which the
/// subscription pauses.
constexpr milliseconds MaxBurstGap{600};
/// Limits of the pause between listings in a burst. Listings that take long on
/// a slow link are read less often; the upper limit puts changes in force
/// within two seconds.
constexpr microseconds MinBurstPause = milliseconds(900);
constexpr microseconds MaxBurstPause = milliseconds(1'000);
constexpr int PauseToListingRatio = 3;
/// Upper limit of the batch delay while changes are urgent.
constexpr milliseconds MaxUrgentBatchDelay{200};
constexpr milliseconds WantedCheckInterval{50};
/// On standby many nodes may retry together.
constexpr microseconds MinStandbyBackoff = milliseconds(500);
constexpr microseconds MaxStandbyBackoff = milliseconds(3'000);

} // namespace

store_subscription::store_subscription(
    config_store &ConfigStore, std::string KeyPrefix,
    store_listener &StoreListener, subscription_settings SubscriptionSettings)
    : Store(ConfigStore), Prefix(std::move(KeyPrefix)), Listener(StoreListener),
      Settings(std::move(SubscriptionSettings)) {}

void store_subscription::refresh() { Store.cancelWatch(); }

void store_subscription::restart() {
  Restarting = true;
  Store.cancelWatch();
}

microseconds store_subscription::burstPauseTime() const {
  return std::clamp(ListDuration * PauseToListingRatio, MinBurstPause,
                    MaxBurstPause);
}

bool store_subscription::mayPoll() const {
  return Settings.PollInterval.count() > 0 && !isUrgent() &&
         currentTime() >= SettledAt;
}

void store_subscription::setConnected(bool Reached, std::string_view Why) {
  if (Reached == Connected && (Reached || EverDisconnected))
    return;
  Connected = Reached;
  EverDisconnected = EverDisconnected || !Reached;
  log_event(Reached ? "store_reached" : "store_lost")
      .add("prefix", Prefix)
      .add("revision", Revision)
      .add("why", Why);
}

void store_subscription::setCurrentAt(instant At) {
  CurrentAt = At;
  if (Settings.OnCurrent)
    Settings.OnCurrent();
}

awaitable<bool> store_subscription::list() {
  if (std::exchange(Restarting, false)) {
    Revision = store_revision();
    NewestModification = store_revision();
  }
  instant RequestedAt = currentTime();
  // In a burst no watch follows that would make up for a stale listing.
  bool MayBeStale =
      mode() == subscription_mode::standby && !HistoryGone && !BurstPause;
  awaitable<result<range_answer>> Read =
      MayBeStale ? Store.staleRange(Prefix) : Store.range(Prefix, true);
  result<range_answer> Answer = co_await std::move(Read);
  if (!Answer) {
    setConnected(false, Answer.error().text());
    co_return false;
  }
  setConnected(true, "listed");
  // The answer may be of the earlier era, or its pages of two eras.
  if (Restarting)
    co_return true;
  Revision = Answer->Revision;
  HistoryGone = false;
  ListDuration = currentTime() - RequestedAt;
  store_revision Newest;
  for (const store_entry &Entry : Answer->Entries)
    Newest = std::max(Newest, Entry.ModifiedAt);
  // While the burst lasts, listings alone take fewer calls than watches.
  BurstPause = BurstPause && Newest != NewestModification;
  NewestModification = Newest;
  Listener.onListed(*Answer);
  if (!MayBeStale)
    setCurrentAt(RequestedAt);
  co_return true;
}

awaitable<bool> store_subscription::watch() {
  bool Batching = false;
  error Ended = co_await Store.watch(
      Prefix, Revision.next(),
      [this, &Batching](store_revision At,
                        const std::vector<watch_event> &Events) {
        Revision = At;
        setConnected(true, "watch");
        for (const watch_event &Event : Events)
          Listener.onChanged(Event);
        setCurrentAt(currentTime());
        if (!isWanted())
          Store.cancelWatch();
        if (Events.empty())
          return;
        instant Now = currentTime();
        bool IsBurst = Now < LastEvent + MaxBurstGap;
        LastEvent = Now;
        if (IsBurst)
          BurstPause = true;
        Batching = !IsBurst && Settings.BatchDelay.count() > 0;
        if (IsBurst || Batching)
          Store.cancelWatch();
      });
  if (BurstPause || Batching)
    co_return true;
  HistoryGone = Ended.Kind == error_kind::not_found;
  if (HistoryGone)
    log_event("store_history_gone").add("prefix", Prefix).add("at", Revision);
  co_return false;
}

awaitable<bool> store_subscription::runWatches() {
  for (;;) {
    bool Intact = co_await watch();
    if (!Intact || BurstPause || Restarting || !isWanted())
      co_return Intact;
    co_await sleepFor(isUrgent()
                          ? std::min(Settings.BatchDelay, MaxUrgentBatchDelay)
                          : Settings.BatchDelay);
    co_await poll();
  }
}

awaitable<void> store_subscription::poll() {
  while (mayPoll() && isWanted() && !Restarting) {
    result<range_answer> Answer = co_await Store.staleRange(Prefix);
    if (!Answer || Restarting)
      co_return; // the next watch reports the failure
    if (Answer->Revision >= Revision) {
      Revision = Answer->Revision;
      Listener.onListed(*Answer);
    }
    co_await sleepFor(Settings.PollInterval);
  }
}

awaitable<void> store_subscription::backOff() {
  bool OnStandby = mode() == subscription_mode::standby;
  Backoff = std::clamp(Backoff * 2, OnStandby ? MinStandbyBackoff : MinBackoff,
                       OnStandby ? MaxStandbyBackoff : MaxBackoff);
  co_await sleepFor(Backoff / 2 + jitter(Backoff / 2));
}

awaitable<void> store_subscription::waitUntilWanted() {
  Connected = false;
  BurstPause = false;
  Backoff = microseconds(0);
  while (!isWanted())
    co_await sleepFor(WantedCheckInterval);
}

awaitable<void> store_subscription::run() {
  for (;;) {
    if (!isWanted())
      co_await waitUntilWanted();
    SettledAt = BurstPause ? SettledAt : currentTime() + Settings.SettleTime;
    bool Intact = co_await list();
    if (Intact) {
      Backoff = microseconds(0);
      if (!BurstPause && !Restarting)
        Intact = co_await runWatches();
    }
    if (Restarting)
      continue;
    if (Intact)
      co_await sleepFor(burstPauseTime());
    else
      co_await backOff();
  }
}

} // namespace chivebeam
