// GCC 12 takes the inlined frame allocation of coroutines for another
// allocator's.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

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
constexpr milliseconds StormGap{350};
/// How long it pauses; a change is in force well within a second all the same.
constexpr milliseconds StormPause{300};

/// Up to the whole of Longest, so that nodes don't come back together.
microseconds jitter(microseconds Longest) {
  static std::minstd_rand Engine{std::random_device()()};
  std::uniform_int_distribution<std::int64_t> Draw(0, Longest.count());
  return microseconds(Draw(Engine));
}

} // namespace

store_feed::store_feed(config_store &FeedStore, std::string KeyPrefix,
                       feed_listener &FeedListener)
    : Store(FeedStore), Prefix(std::move(KeyPrefix)), Listener(FeedListener) {}

void store_feed::refresh() { Store.cancelWatch(); }

void store_feed::noteContact(bool Reached, std::string_view Why) {
  if (Reached == InTouch && (Reached || LostAt != instant()))
    return;
  InTouch = Reached;
  if (!Reached)
    LostAt = currentTime();
  log_event(Reached ? "store_reached" : "store_lost")
      .add("prefix", Prefix)
      .add("revision", Revision)
      .add("why", Why);
}

awaitable<bool> store_feed::list() {
  result<range_answer> Answer = co_await Store.range(Prefix, true);
  if (!Answer) {
    noteContact(false, Answer.error().text());
    co_return false;
  }
  noteContact(true, "listed");
  Revision = Answer->Revision;
  EverListed = true;
  Listener.listed(Answer->Entries);
  co_return true;
}

awaitable<void> store_feed::watch() {
  Pausing = false;
  error Ended = co_await Store.watch(
      Prefix, Revision.next(),
      [this](store_revision At, const std::vector<watch_event> &Events) {
        Revision = At;
        noteContact(true, "watch");
        for (const watch_event &Event : Events)
          Listener.changed(Event);
        if (Events.empty())
          return;
        instant Now = currentTime();
        bool Storm = Now < LastEvent + StormGap;
        LastEvent = Now;
        if (Storm && !Pausing) {
          Pausing = true;
          Store.cancelWatch();
        }
      });
  if (Pausing)
    co_return;
  if (Ended.Kind == error_kind::not_found)
    log_event("store_history_gone").add("prefix", Prefix).add("at", Revision);
}

awaitable<void> store_feed::run() {
  for (;;) {
    bool Listed = co_await list();
    if (Listed) {
      Backoff = microseconds(0);
      co_await watch();
    }
    if (Pausing && Listed) {
      co_await sleepFor(StormPause);
      continue;
    }
    Backoff = std::clamp(Backoff * 2, MinBackoff, MaxBackoff);
    co_await sleepFor(Backoff / 2 + jitter(Backoff / 2));
  }
}

} // namespace chivebeam
