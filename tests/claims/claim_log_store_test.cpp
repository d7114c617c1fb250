#include <boost/test/unit_test.hpp>

#include "claims/claim_log_store.h"
#include "stand_ins/store_stand_in.h"
#include "store/gateway_store.h"

using namespace chivebeam;
using namespace chivebeam::stand_ins;

namespace {

constexpr milliseconds CallTimeout{5'000};
constexpr std::uint64_t ManySegments =
    1'203; // two full pages and part of a third

claim_segment segment(std::uint64_t Number) {
  claim_record Record;
  Record.Key = {Number, Number};
  Record.Id = claim_id("id" + std::to_string(Number));
  return {claim_sequence(Number), batch_id(Number), {Record}};
}

/// Writes Count segments, then loads the log as a new owner does.
awaitable<std::optional<claim_log>> writeAndLoad(gateway_store &Store,
                                                 std::uint64_t Count) {
  claim_log_store Log(Store, fleet_name("f"), service_name("kassa"),
                      seconds(3'600));
  log_position Head;
  for (std::uint64_t Number = 1; Number <= Count; ++Number) {
    claim_segment Next = segment(Number);
    auto Written = co_await Log.commit(Next, Head, instant());
    if (Written.End != commit_end::committed)
      co_return std::nullopt;
    Head = Written.Head;
  }
  std::optional<claim_log> Loaded = co_await Log.load();
  co_return Loaded;
}

std::optional<claim_log> loadAfter(std::uint64_t Count,
                                   std::uint64_t &StoreCalls) {
  asio::io_context Context;
  store_stand_in Server(Context);
  result<address> Bound = Server.listen({"127.0.0.1", 0});
  BOOST_REQUIRE(Bound.has_value());
  gateway_store Store({*Bound}, CallTimeout);
  std::optional<claim_log> Loaded;
  asio::co_spawn(Context, writeAndLoad(Store, Count),
                 [&](const std::exception_ptr &, std::optional<claim_log> Log) {
                   Loaded = std::move(Log);
                   Context.stop();
                 });
  Context.run();
  StoreCalls = Server.calls();
  return Loaded;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_long_claim_log_is_read_page_by_page) {
  std::uint64_t Calls = 0;
  std::optional<claim_log> Log = loadAfter(ManySegments, Calls);
  BOOST_REQUIRE(Log.has_value());
  BOOST_REQUIRE(Log->Segments.size() == ManySegments);
  for (std::uint64_t Number = 1; Number <= ManySegments; ++Number)
    BOOST_REQUIRE((Log->Segments[Number - 1] == segment(Number)));
  BOOST_TEST(Log->LastSequence.value() == ManySegments);
  std::uint64_t Writes = ManySegments + 1; // and one lease
  std::uint64_t Reads = 1 + 3;             // the head and three pages
  BOOST_TEST(Calls == Writes + Reads);
}

BOOST_AUTO_TEST_CASE(an_empty_claim_log_is_read) {
  std::uint64_t Calls = 0;
  std::optional<claim_log> Log = loadAfter(0, Calls);
  BOOST_REQUIRE(Log.has_value());
  BOOST_TEST(Log->Segments.empty());
}
