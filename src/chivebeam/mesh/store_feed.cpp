#include "mesh/store_feed.h"

#include <algorithm>
#include <random>

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr microseconds MinBackoff = milliseconds(50);
constexpr microseconds MaxBackoff = milliseconds(700);
/// Changes that follow each other more closely make the feed pause.
constexpr milliseconds StormGap{600};
/// How long it pauses. A listing that fills a slow link for long is made less
/// often; its changes are in force within two seconds all the same.
constexpr microseconds MinStormPause = milliseconds(900);
constexpr microseconds MaxStormPause = milliseconds(1'200);
constexpr int PausePerListing = 3;
/// While changes are urgent, the feed waits no longer than this for others.
constexpr milliseconds UrgentGather{200};

/// Up to the whole of Longest, so that nodes don't come back together.
microseconds jitter(microseconds Longest) {
  static std::minstd_rand Engine{std::random_device()()};
  std::uniform_int_distribution<std::int64_t> Draw(0, Longest.count());
  return microseconds(Draw(Engine));
}

} // namespace

store_feed::store_feed(config_store &FeedStore, std::string KeyPrefix,
                       feed_listener &FeedListener, feed_pace FeedPace)
    : Store(FeedStore), Prefix(std::move(KeyPrefix)), Listener(FeedListener),
      Pace(std::move(FeedPace)) {}

void store_feed::refresh() { Store.cancelWatch(); }

bool store_feed::isCurrent(instant Now) const {
  return InTouch && (WatchOpen || Now < ListedAt + MinStormPause * 2);
}

microseconds store_feed::stormPause() const {
  return std::clamp(ListTook * PausePerListing, MinStormPause, MaxStormPause);
}

bool store_feed::mayPoll() const {
  return Pace.Poll.count() > 0 && !isUrgent() && currentTime() >= SettledAt;
}

void store_feed::noteContact(bool Reached, std::string_view Why) {
  if (Reached == InTouch && (Reached || EverLost))
    return;
  InTouch = Reached;
  EverLost = EverLost || !Reached;
  log_event(Reached ? "store_reached" : "store_lost")
      .add("prefix", Prefix)
      .add("revision", Revision)
      .add("why", Why);
}

awaitable<bool> store_feed::list() {
  instant Asked = currentTime();
  result<range_answer> Answer = co_await Store.range(Prefix, true);
  if (!Answer) {
    noteContact(false, Answer.error().text());
    co_return false;
  }
  noteContact(true, "listed");
  Revision = Answer->Revision;
  ListedAt = currentTime();
  ListTook = ListedAt - Asked;
  store_revision Newest;
  for (const store_entry &Entry : Answer->Entries)
    Newest = std::max(Newest, Entry.ModifiedAt);
  // While changes go on, listings alone cost fewer calls than watches.
  Pausing = Pausing && Newest != NewestEntry;
  NewestEntry = Newest;
  Listener.listed(*Answer);
  co_return true;
}

awaitable<bool> store_feed::watch() {
  bool Gathering = false;
  WatchOpen = true;
  error Ended = co_await Store.watch(
      Prefix, Revision.next(),
      [this, &Gathering](store_revision At,
                         const std::vector<watch_event> &Events) {
        Revision = At;
        noteContact(true, "watch");
        for (const watch_event &Event : Events)
          Listener.changed(Event);
        if (Events.empty())
          return;
        instant Now = currentTime();
        bool Storm = Now < LastEvent + StormGap;
        LastEvent = Now;
        if (Storm)
          Pausing = true;
        Gathering = !Storm && Pace.Gather.count() > 0;
        if (Storm || Gathering)
          Store.cancelWatch();
      });
  WatchOpen = false;
  if (Pausing || Gathering)
    co_return true;
  if (Ended.Kind == error_kind::not_found)
    log_event("store_history_gone").add("prefix", Prefix).add("at", Revision);
  co_return false;
}

awaitable<bool> store_feed::followWatches() {
  for (;;) {
    bool Intact = co_await watch();
    if (!Intact || Pausing)
      co_return Intact;
    co_await sleepFor(isUrgent() ? std::min(Pace.Gather, UrgentGather)
                                 : Pace.Gather);
    co_await poll();
  }
}

awaitable<void> store_feed::poll() {
  while (mayPoll()) {
    result<range_answer> Answer = co_await Store.staleRange(Prefix);
    if (!Answer)
      co_return; // the next watch finds out what is wrong
    if (Answer->Revision >= Revision) {
      Revision = Answer->Revision;
      Listener.listed(*Answer);
    }
    co_await sleepFor(Pace.Poll);
  }
}

awaitable<void> store_feed::backOff() {
  Backoff = std::clamp(Backoff * 2, MinBackoff, MaxBackoff);
  co_await sleepFor(Backoff / 2 + jitter(Backoff / 2));
}

awaitable<void> store_feed::run() {
  for (;;) {
    SettledAt = Pausing ? SettledAt : currentTime() + Pace.Settle;
    bool Intact = co_await list();
    if (Intact) {
      Backoff = microseconds(0);
      if (!Pausing)
        Intact = co_await followWatches();
    }
    if (Intact)
      co_await sleepFor(stormPause());
    else
      co_await backOff();
  }
}

} // namespace chivebeam
