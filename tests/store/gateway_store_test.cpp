#include <boost/test/unit_test.hpp>

#include "commands/command_tools.h"
#include "stand_ins/scripted_http.h"
#include "stand_ins/store_stand_in.h"
#include "store/gateway_store.h"

using namespace chivebeam;
using namespace chivebeam::stand_ins;

namespace {

/// Runs the io_context, which also serves the stand-in, until the call returns.
template <typename Value>
Value runUntilDone(asio::io_context &Context, awaitable<Value> Task) {
  std::optional<Value> Answer;
  asio::co_spawn(Context, std::move(Task),
                 [&](const std::exception_ptr &, Value Result) {
                   Answer = std::move(Result);
                 });
  while (!Answer)
    Context.run_one();
  return std::move(*Answer);
}

struct gateway_store_fixture {
  asio::io_context Context{1};
  store_stand_in Server{Context};
  address ServerAddress = Server.listen({"127.0.0.1", 0}).value();
  gateway_store Store{{ServerAddress}, milliseconds(100)};

  result<transaction_answer> put(const std::string &Key,
                                 const std::string &Value) {
    store_transaction Transaction;
    Transaction.Conditions.push_back({Key, store_revision()});
    Transaction.Puts.push_back({Key, Value, lease_id()});
    return runUntilDone(Context, Store.commit(std::move(Transaction)));
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_lost_answer_is_an_unknown_effect,
                        gateway_store_fixture) {
  Server.switches().LoseNext = 1;
  result<transaction_answer> Lost = put("k", "v");
  BOOST_REQUIRE(!Lost);
  BOOST_TEST((Lost.error().Kind == error_kind::unknown_effect));
  result<transaction_answer> Again = put("k", "v");
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST(!Again->Succeeded);
}

BOOST_FIXTURE_TEST_CASE(a_late_answer_is_not_taken_for_a_later_call,
                        gateway_store_fixture) {
  put("first", "1");
  put("second", "2");
  Server.switches().SlowMs = 150;
  result<range_answer> Late =
      runUntilDone(Context, Store.range("first", false));
  BOOST_REQUIRE(!Late);
  BOOST_TEST((Late.error().Kind == error_kind::unknown_effect));
  Server.switches().SlowMs = 0;
  result<range_answer> Next =
      runUntilDone(Context, Store.range("second", false));
  BOOST_REQUIRE(Next.has_value());
  BOOST_REQUIRE(Next->Entries.size() == 1u);
  BOOST_TEST(Next->Entries.front().Value == "2");
}

BOOST_FIXTURE_TEST_CASE(a_refused_connection_is_reported_as_unavailable,
                        gateway_store_fixture) {
  gateway_store Unreachable({{"127.0.0.1", 1}}, milliseconds(100));
  result<range_answer> Answer =
      runUntilDone(Context, Unreachable.range("k", false));
  BOOST_REQUIRE(!Answer);
  BOOST_TEST((Answer.error().Kind == error_kind::unavailable));
}

// Guards against a node that ends because a watch ends byte by byte, or with a
// trailer that the HTTP library can't hold.
BOOST_AUTO_TEST_CASE(a_watch_may_end_in_pieces_or_with_a_long_trailer) {
  for (bool InPieces : {true, false}) {
    asio::io_context Context{1};
    tests::scripted_worker Server(
        Context, [InPieces](tcp::socket &Socket) -> awaitable<void> {
          beast::flat_buffer Buffer;
          co_await tests::readRequest(Socket, Buffer);
          co_await tests::write(Socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                        "chunked\r\n\r\n2\r\n{}\r\n");
          std::string End =
              InPieces ? "0\r\n\r\n"
                       : "0\r\nA: " + std::string(70'000, 'a') + "\r\n\r\n";
          for (std::size_t At = 0; InPieces && At < End.size(); ++At) {
            co_await tests::write(Socket, End.substr(At, 1));
            co_await sleepFor(milliseconds(2));
          }
          if (!InPieces)
            co_await tests::write(Socket, End);
        });
    gateway_store Store{{Server.bound()}, milliseconds(1'000)};
    error Ended = runUntilDone(
        Context,
        Store.watch("k", store_revision(1),
                    [](store_revision, const std::vector<watch_event> &) {}));
    BOOST_TEST((Ended.Kind == error_kind::unavailable));
  }
}
