// Tests the client of the platform's store against a stand-in store.
#include <boost/test/unit_test.hpp>

#include "platform/kv_store.h"
#include "stand_ins/platform_store.h"

using namespace chivebeam;
using namespace chivebeam::platform;

namespace {

/// A store stand-in and a client connected to it, on one io_context.
struct store_fixture {
  store_fixture() : Server(Context), Client(Server.listen()) {}

  void run(std::function<awaitable<void>()> Test) {
    bool Ended = false;
    asio::co_spawn(Context, Test(), [&](std::exception_ptr Failure) {
      Ended = true;
      Context.stop();
      if (Failure)
        std::rethrow_exception(Failure);
    });
    Context.run_for(seconds(30));
    BOOST_TEST(Ended, "the test did not end");
  }

  asio::io_context Context{1};
  stand_ins::platform_store Server;
  kv_store Client;
};

store_transaction write(std::string Key, std::string Value,
                        store_revision Expected, lease_id Lease = lease_id()) {
  store_transaction Change;
  Change.Conditions.push_back({Key, Expected});
  Change.Puts.push_back({std::move(Key), std::move(Value), Lease});
  return Change;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_conditional_write_is_read_back_unchanged) {
  store_fixture Fixture;
  Fixture.run([&]() -> awaitable<void> {
    std::string Bytes("a\0\xff value", 9);
    auto Written = co_await Fixture.Client.commit(
        write("k/1 &?", Bytes, store_revision()));
    BOOST_REQUIRE(Written);
    BOOST_TEST(Written->Succeeded);
    auto Read = co_await Fixture.Client.range("k/1 &?", false);
    BOOST_REQUIRE(Read);
    BOOST_REQUIRE(Read->Entries.size() == 1u);
    BOOST_TEST(Read->Entries[0].Value == Bytes);
    BOOST_TEST((Read->Entries[0].ModifiedAt == Written->Revision));
    auto Again =
        co_await Fixture.Client.commit(write("k/1 &?", "x", store_revision()));
    BOOST_REQUIRE(Again);
    BOOST_TEST(!Again->Succeeded);
    auto None = co_await Fixture.Client.range("k/none", false);
    BOOST_REQUIRE(None);
    BOOST_TEST(None->Entries.empty());
  });
}

BOOST_AUTO_TEST_CASE(a_key_is_removed_with_its_lease) {
  store_fixture Fixture;
  Fixture.run([&]() -> awaitable<void> {
    auto Lease = co_await Fixture.Client.grantLease(seconds(5));
    BOOST_REQUIRE(Lease);
    auto Written = co_await Fixture.Client.commit(
        write("k", "v", store_revision(), *Lease));
    BOOST_TEST(Written.has_value());
    auto Kept = co_await Fixture.Client.keepLease(*Lease);
    BOOST_TEST(Kept.value_or(false));
    auto Ended = co_await Fixture.Client.revokeLease(*Lease);
    BOOST_TEST(Ended.has_value());
    BOOST_TEST(!Fixture.Server.has("k"));
    auto Lost = co_await Fixture.Client.keepLease(*Lease);
    BOOST_TEST(!Lost.value_or(true));
    auto Late = co_await Fixture.Client.commit(
        write("k", "v", store_revision(), *Lease));
    BOOST_REQUIRE(!Late);
    BOOST_TEST((Late.error().Kind == error_kind::not_found));
  });
}

BOOST_AUTO_TEST_CASE(a_watch_reports_changes_and_compacted_history) {
  store_fixture Fixture;
  Fixture.run([&]() -> awaitable<void> {
    Fixture.Server.put("w/1", "one");
    auto Listed = co_await Fixture.Client.range("w/", true);
    BOOST_REQUIRE(Listed);
    Fixture.Server.put("w/2", "two");
    Fixture.Server.put("other", "x");
    Fixture.Server.remove("w/1");
    std::vector<watch_event> Received;
    error Ended = co_await Fixture.Client.watch(
        "w/", Listed->Revision.next(),
        [&](store_revision, const std::vector<watch_event> &Events) {
          Received.insert(Received.end(), Events.begin(), Events.end());
          Fixture.Client.cancelWatch();
        });
    BOOST_REQUIRE(Received.size() == 2u);
    BOOST_TEST(Received[0].Entry.Value == "two");
    BOOST_TEST(Received[1].Deleted);
    BOOST_TEST(Received[1].Entry.Key == "w/1");
    Fixture.Server.Switches.Compacted = true;
    Ended = co_await Fixture.Client.watch(
        "w/", store_revision(1),
        [](store_revision, const std::vector<watch_event> &) {});
    BOOST_TEST((Ended.Kind == error_kind::not_found));
  });
}

BOOST_AUTO_TEST_CASE(a_refused_commit_has_no_effect_and_an_unanswered_one_may) {
  store_fixture Fixture;
  Fixture.run([&]() -> awaitable<void> {
    Fixture.Server.Switches.Down = true;
    auto Down =
        co_await Fixture.Client.commit(write("k", "v", store_revision()));
    BOOST_REQUIRE(!Down);
    BOOST_TEST((Down.error().Kind == error_kind::unavailable));
    Fixture.Server.Switches.Down = false;
    Fixture.Server.Switches.LoseWrites = true;
    auto Lost =
        co_await Fixture.Client.commit(write("k", "v", store_revision()));
    BOOST_REQUIRE(!Lost);
    BOOST_TEST((Lost.error().Kind == error_kind::unknown_effect));
    BOOST_TEST(Fixture.Server.value("k") == "v");
  });
}

BOOST_AUTO_TEST_CASE(no_call_is_made_for_a_while_after_a_rate_limit_answer) {
  store_fixture Fixture;
  Fixture.run([&]() -> awaitable<void> {
    Fixture.Server.Switches.TooManyRequests = true;
    auto Refused = co_await Fixture.Client.range("k", false);
    BOOST_TEST(!Refused);
    unsigned Before = Fixture.Server.Calls;
    for (int Call = 0; Call < 5; ++Call) {
      auto Delayed = co_await Fixture.Client.range("k", false);
      BOOST_TEST(!Delayed);
    }
    BOOST_TEST(Fixture.Server.Calls == Before);
  });
}

BOOST_AUTO_TEST_CASE(a_listing_of_many_pages_is_complete) {
  store_fixture Fixture;
  Fixture.Server.PageItems = 3;
  for (int Key = 100; Key < 110; ++Key)
    Fixture.Server.put("k/" + std::to_string(Key), std::to_string(Key));
  Fixture.run([&]() -> awaitable<void> {
    auto All = co_await Fixture.Client.range("k/", true);
    BOOST_REQUIRE(All);
    BOOST_REQUIRE(All->Entries.size() == 10u);
    BOOST_TEST(All->Entries.back().Value == "109");
    BOOST_TEST(Fixture.Server.StaleReads == 0u);
    auto Old = co_await Fixture.Client.staleRange("k/");
    BOOST_REQUIRE(Old);
    BOOST_TEST(Old->Entries.size() == 10u);
    BOOST_TEST(Fixture.Server.StaleReads == 4u);
    auto Page = co_await Fixture.Client.page("k/", "k/104", 2);
    BOOST_REQUIRE(Page);
    BOOST_REQUIRE(Page->Entries.size() == 2u);
    BOOST_TEST(Page->Entries[0].Key == "k/105");
  });
}

// Guards against a listing that ends, or is read without end, at items that
// can't be read.
BOOST_AUTO_TEST_CASE(unreadable_items_hide_no_others) {
  store_fixture Fixture;
  Fixture.Server.PageItems = 3;
  Fixture.run([&]() -> awaitable<void> {
    for (unsigned Number = 10; Number < 30; ++Number)
      Fixture.Server.put("k/" + std::to_string(Number),
                         Number % 10 == 0 ? "good" : "!raw, no base64");
    Fixture.Server.put("k/\xff\xfe", "good");
    auto Read = co_await Fixture.Client.range("k/", true);
    BOOST_REQUIRE(Read);
    BOOST_REQUIRE(Read->Entries.size() == 3u);
    BOOST_TEST(Read->Entries[1].Key == "k/20");
    BOOST_TEST(Read->Entries[2].Key == "k/\xff\xfe");
  });
}
