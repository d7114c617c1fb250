// Tests how a subscription lists, polls and watches a part of the store.
#include <boost/test/unit_test.hpp>

#include "mesh/store_subscription.h"
#include "net/clock.h"
#include "platform/kv_store.h"
#include "stand_ins/platform_store.h"

using namespace chivebeam;

namespace {

struct counting_listener final : store_listener {
  void onListed(const range_answer &Listing) override {
    ++Listings;
    Newest = Listing.Entries.empty() ? "" : Listing.Entries.back().Value;
  }
  void onChanged(const watch_event &Event) override {
    ++Changes;
    Newest = Event.Entry.Value;
  }

  unsigned Listings = 0;
  unsigned Changes = 0;
  std::string Newest;
};

} // namespace

BOOST_AUTO_TEST_SUITE(subscription)

BOOST_AUTO_TEST_CASE(a_settled_subscription_polls_and_watches_only_if_urgent) {
  asio::io_context Context(1);
  stand_ins::platform_store Server(Context);
  platform::kv_store Client(Server.listen());
  counting_listener Listener;
  bool Urgent = false;
  store_subscription Subscription(Client, "k/", Listener,
                                  {.BatchDelay = milliseconds(5),
                                   .PollInterval = milliseconds(10),
                                   .SettleTime = milliseconds(50),
                                   .IsUrgent = [&] { return Urgent; }});
  auto Until = [&](std::function<bool()> Holds) -> awaitable<void> {
    for (int Step = 0; Step < 4'000 && !Holds(); ++Step)
      co_await sleepFor(milliseconds(5));
    BOOST_TEST(Holds());
  };
  bool Ended = false;
  auto Test = [&]() -> awaitable<void> {
    co_await Until([&] { return Listener.Listings == 1; });
    BOOST_TEST(Subscription.isConnected());
    co_await sleepFor(milliseconds(100));
    BOOST_TEST(Server.StaleReads == 0u);
    Server.put("k/1", "first");
    co_await Until([&] { return Server.StaleReads > 2; });
    BOOST_TEST(Listener.Newest == "first");
    unsigned ChangesBefore = Listener.Changes;
    Server.put("k/1", "second");
    co_await Until([&] { return Listener.Newest == "second"; });
    BOOST_TEST(Listener.Changes == ChangesBefore);
    Urgent = true;
    co_await sleepFor(milliseconds(50));
    unsigned ReadsBefore = Server.StaleReads;
    Server.put("k/1", "third");
    co_await Until([&] { return Listener.Newest == "third"; });
    BOOST_TEST(Listener.Changes > ChangesBefore);
    BOOST_TEST(Server.StaleReads <= ReadsBefore + 1);
    Server.Switches.Down = true;
    Urgent = false;
    Server.put("k/1", "unseen");
    co_await Until([&] { return !Subscription.isConnected(); });
    Server.Switches.Down = false;
    co_await Until([&] { return Subscription.isConnected(); });
    co_await Until([&] { return Listener.Newest == "unseen"; });
    Ended = true;
    Context.stop();
  };
  asio::co_spawn(Context, Subscription.run(), asio::detached);
  asio::co_spawn(Context, Test(), asio::detached);
  Context.run_for(seconds(60));
  BOOST_TEST(Ended);
}

// Guards against a watch that continues at the revision of a listing from an
// earlier era, in which the same revision meant something else.
BOOST_AUTO_TEST_CASE(a_listing_that_was_sent_before_the_era_rose_is_repeated) {
  asio::io_context Context(1);
  stand_ins::platform_store Server(Context);
  address At = Server.listen();
  platform::kv_store Client(At);
  counting_listener Listener;
  store_subscription Subscription(Client, "k/", Listener, {});
  bool Ended = false;
  auto Test = [&]() -> awaitable<void> {
    for (int Change = 0; Change < 8; ++Change)
      Server.put("k/1", "of the old era");
    Server.setSilent(At, true);
    asio::co_spawn(Context, Subscription.run(), asio::detached);
    co_await sleepFor(milliseconds(100)); // the listing is on its way
    Server.restoreCopy();
    Server.put("k/1", "of the new era");
    for (int Change = 0; Change < 16; ++Change)
      Server.put("other/1", "");
    // The node has learned of the new era from another node.
    Subscription.restart();
    Server.setSilent(At, false);
    for (int Step = 0; Step < 400 && Listener.Newest != "of the new era";
         ++Step)
      co_await sleepFor(milliseconds(5));
    BOOST_TEST(Listener.Newest == "of the new era");
    Ended = true;
    Context.stop();
  };
  asio::co_spawn(Context, Test(), asio::detached);
  Context.run_for(seconds(60));
  BOOST_TEST(Ended);
}

// Guards against a node on standby that reads only stale listings while changes
// follow each other: no watch makes up for their age then.
BOOST_AUTO_TEST_CASE(listings_in_a_burst_are_not_stale_on_standby) {
  asio::io_context Context(1);
  stand_ins::platform_store Server(Context);
  platform::kv_store Client(Server.listen());
  counting_listener Listener;
  store_subscription Subscription(Client, "k/", Listener, {.Mode = [] {
                                    return subscription_mode::standby;
                                  }});
  auto Test = [&]() -> awaitable<void> {
    for (int Change = 0; Change < 30; ++Change) {
      Server.put("k/1", std::to_string(Change));
      co_await sleepFor(milliseconds(100));
    }
    BOOST_TEST(Listener.Listings > 2u);
    BOOST_TEST(Server.StaleReads == 1u);
    Context.stop();
  };
  asio::co_spawn(Context, Subscription.run(), asio::detached);
  asio::co_spawn(Context, Test(), asio::detached);
  Context.run_for(seconds(60));
}

// Guards against a node on standby that waits for seconds after the store
// refused one of its watches.
BOOST_AUTO_TEST_CASE(a_refused_watch_on_standby_is_repeated_soon) {
  asio::io_context Context(1);
  stand_ins::platform_store Server(Context);
  platform::kv_store Client(Server.listen());
  counting_listener Listener;
  store_subscription Subscription(Client, "k/", Listener, {.Mode = [] {
                                    return subscription_mode::standby;
                                  }});
  auto Test = [&]() -> awaitable<void> {
    co_await sleepFor(milliseconds(200));
    Server.Switches.TooManyRequests = true;
    unsigned CallsBefore = Server.Calls;
    Server.put("k/1", "first"); // ends the watch
    for (int Step = 0; Step < 1'000 && Server.Calls == CallsBefore; ++Step)
      co_await sleepFor(milliseconds(1));
    Server.Switches.TooManyRequests = false;
    Server.put("k/1", "second");
    for (int Step = 0; Step < 140 && Listener.Newest != "second"; ++Step)
      co_await sleepFor(milliseconds(5));
    BOOST_TEST(Listener.Newest == "second");
    Context.stop();
  };
  asio::co_spawn(Context, Subscription.run(), asio::detached);
  asio::co_spawn(Context, Test(), asio::detached);
  Context.run_for(seconds(60));
}

BOOST_AUTO_TEST_SUITE_END()
