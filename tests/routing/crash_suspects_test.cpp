// Tests which calls are refused since they ran when backend servers ended, in
// virtual time, and that the order and repetition of events don't matter.
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "routing/answered_calls.h"
#include "routing/broken_calls.h"
#include "routing/crash_suspects.h"

using namespace chivebeam;

namespace {

const instant Start = instant(seconds(100'000));
constexpr call_fingerprint Crashing(7);
constexpr call_fingerprint Other(8);

worker_start server(std::int64_t Number) {
  return {worker_id("server"), Number};
}

suspect_event endOf(std::int64_t Number, seconds At,
                    call_fingerprint Call = Crashing) {
  return {Call, server(Number), Start + At};
}

suspect_event answerAt(seconds At, call_fingerprint Call = Crashing) {
  return {Call, {}, Start + At};
}

bool isRefused(const crash_suspects &Suspects, instant Now,
               call_fingerprint Call = Crashing) {
  return Suspects.refusedFor(Call, Now).count() > 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_call_is_refused_after_the_ends_of_three_servers) {
  crash_suspects Suspects;
  instant Now = Start + seconds(3);
  BOOST_TEST(Suspects.mayRetry(Crashing));
  BOOST_TEST(Suspects.apply(endOf(1, seconds(1)), Now));
  BOOST_TEST(Suspects.isSuspect(Crashing));
  BOOST_TEST(Suspects.mayRetry(Crashing));
  BOOST_TEST(Suspects.apply(endOf(2, seconds(2)), Now));
  BOOST_TEST(!Suspects.mayRetry(Crashing));
  BOOST_TEST(!isRefused(Suspects, Now));
  BOOST_TEST(!Suspects.apply(endOf(2, seconds(3)), Now));
  BOOST_TEST(!isRefused(Suspects, Now));
  BOOST_TEST(Suspects.apply(endOf(3, seconds(3)), Now));
  BOOST_TEST(isRefused(Suspects, Now));
  BOOST_TEST((Suspects.refusedFor(Crashing, Now) > std::chrono::minutes(1)));
  BOOST_TEST(!isRefused(Suspects, Now, Other));
  BOOST_TEST(!Suspects.isSuspect(Other));
}

BOOST_AUTO_TEST_CASE(an_answer_clears_a_call_of_the_ends_before_it) {
  crash_suspects Suspects;
  instant Now = Start + seconds(10);
  Suspects.apply(endOf(1, seconds(1)), Now);
  Suspects.apply(endOf(2, seconds(2)), Now);
  BOOST_TEST(Suspects.apply(answerAt(seconds(3)), Now));
  BOOST_TEST(!Suspects.isSuspect(Crashing));
  Suspects.apply(endOf(3, seconds(4)), Now);
  Suspects.apply(endOf(4, seconds(5)), Now);
  BOOST_TEST(!isRefused(Suspects, Now));
  Suspects.apply(endOf(5, seconds(6)), Now);
  BOOST_TEST(isRefused(Suspects, Now));
  BOOST_TEST(Suspects.apply(answerAt(seconds(7)), Now));
  BOOST_TEST(!isRefused(Suspects, Now));
}

// Guards against the refusal of a call that many callers send, after servers
// ended together for a reason of their own.
BOOST_AUTO_TEST_CASE(servers_that_end_together_count_once_for_a_served_call) {
  for (bool WasServed : {true, false}) {
    crash_suspects Suspects;
    instant Now = Start + seconds(20);
    if (WasServed)
      Suspects.apply(answerAt(seconds(0)), Now);
    for (int Number = 1; Number <= 20; ++Number)
      Suspects.apply({Crashing, server(Number),
                      Start + seconds(1) + milliseconds(40 * Number)},
                     Now);
    BOOST_TEST(Suspects.mayRetry(Crashing) == WasServed);
    BOOST_TEST(isRefused(Suspects, Now) == !WasServed);
  }
}

// Guards against a call that crashes servers only from some time on and is
// never refused, whether its servers end together or one by one.
BOOST_AUTO_TEST_CASE(a_served_call_is_refused_after_three_groups_of_ends) {
  for (int Servers : {1, 2, 12, 20}) {
    crash_suspects Suspects;
    Suspects.apply(answerAt(seconds(0)), Start);
    std::int64_t Number = 0;
    for (int Group = 1; Group <= 3; ++Group) {
      instant Now = Start + seconds(3 * Group);
      BOOST_TEST(!isRefused(Suspects, Now));
      for (int Server = 0; Server < Servers; ++Server)
        Suspects.apply(
            {Crashing, server(++Number), Now + milliseconds(10 * Server)},
            Now + seconds(1));
    }
    BOOST_TEST(isRefused(Suspects, Start + seconds(10)));
  }
}

BOOST_AUTO_TEST_CASE(an_old_answer_does_not_excuse_ends) {
  crash_suspects Suspects;
  instant Now = Start + std::chrono::minutes(11);
  Suspects.apply(answerAt(seconds(0)), Start);
  for (int Number = 1; Number <= 3; ++Number)
    Suspects.apply({Crashing, server(Number), Now}, Now);
  BOOST_TEST(isRefused(Suspects, Now));
}

BOOST_AUTO_TEST_CASE(answers_are_remembered_until_others_take_their_place) {
  auto Answered = std::make_unique<answered_calls>();
  BOOST_TEST(!Answered->lastAnswer(Crashing).has_value());
  Answered->add(Crashing, Start);
  Answered->add(Other, Start + seconds(1));
  BOOST_TEST((Answered->lastAnswer(Crashing) == Start));
  BOOST_TEST((Answered->lastAnswer(Other) == Start + seconds(1)));
  Answered->add(call_fingerprint(), Start);
  BOOST_TEST(!Answered->lastAnswer(call_fingerprint()).has_value());
  for (std::uint64_t Number = 100; Number < 10'000; ++Number)
    Answered->add(call_fingerprint(Number), Start);
  BOOST_TEST(!Answered->lastAnswer(Crashing).has_value());
}

BOOST_AUTO_TEST_CASE(order_and_repetition_of_events_do_not_matter) {
  std::vector<suspect_event> Events{endOf(1, seconds(1)), answerAt(seconds(2)),
                                    endOf(2, seconds(3)), endOf(3, seconds(4)),
                                    endOf(4, seconds(5))};
  std::vector<std::size_t> Order{0, 1, 2, 3, 4};
  instant Now = Start + seconds(6);
  do {
    crash_suspects Suspects;
    for (std::size_t Index : Order) {
      Suspects.apply(Events[Index], Now);
      BOOST_TEST(!Suspects.apply(Events[Index], Now));
    }
    BOOST_TEST(isRefused(Suspects, Now));
    Suspects.apply(answerAt(seconds(4)), Now);
    BOOST_TEST(!isRefused(Suspects, Now));
  } while (std::next_permutation(Order.begin(), Order.end()));
}

BOOST_AUTO_TEST_CASE(a_refused_call_may_run_once_more_after_minutes) {
  crash_suspects Suspects;
  for (int Number = 1; Number <= 3; ++Number)
    Suspects.apply(endOf(Number, seconds(Number)), Start + seconds(Number));
  microseconds Left = Suspects.refusedFor(Crashing, Start + seconds(3));
  instant Later = Start + seconds(3) + Left;
  BOOST_TEST(isRefused(Suspects, Later - microseconds(1)));
  BOOST_TEST(!isRefused(Suspects, Later));
  Suspects.apply({Crashing, server(4), Later}, Later);
  BOOST_TEST(isRefused(Suspects, Later));
}

BOOST_AUTO_TEST_CASE(the_events_tell_another_node_everything) {
  crash_suspects Known;
  instant Now = Start + seconds(10);
  Known.apply(endOf(1, seconds(1)), Now);
  Known.apply(answerAt(seconds(2)), Now);
  for (int Number = 2; Number <= 3; ++Number)
    Known.apply(endOf(Number, seconds(Number + 1)), Now);
  crash_suspects Told;
  for (const suspect_event &Event : Known.events(Now))
    Told.apply(Event, Now);
  BOOST_TEST(!isRefused(Told, Now));
  BOOST_TEST(!Told.mayRetry(Crashing));
  Told.apply(endOf(4, seconds(9)), Now);
  BOOST_TEST(isRefused(Told, Now));
  BOOST_TEST(Known.events(Now + std::chrono::hours(1)).empty());
}

BOOST_AUTO_TEST_CASE(many_suspects_do_not_displace_a_refused_call) {
  crash_suspects Suspects;
  for (int Number = 1; Number <= 3; ++Number)
    Suspects.apply(endOf(Number, seconds(Number)), Start + seconds(3));
  for (std::uint64_t Number = 0; Number < 5'000; ++Number)
    Suspects.apply(
        {call_fingerprint(100 + Number), server(4), Start + seconds(5)},
        Start + seconds(5));
  BOOST_TEST(isRefused(Suspects, Start + seconds(5)));
  BOOST_TEST(Suspects.events(Start + seconds(5)).size() < 1'100u);
}

BOOST_AUTO_TEST_CASE(only_calls_of_a_server_that_is_gone_ran_at_its_end) {
  broken_calls Broken;
  Broken.add(Crashing, server(1), Start);
  Broken.add(Crashing, server(1), Start);
  Broken.add(Other, server(2), Start);
  BOOST_TEST(Broken.takeEnded(server(3), Start).empty());
  BOOST_TEST((Broken.takeEnded(server(1), Start + seconds(1)) ==
              std::vector<call_fingerprint>{Crashing}));
  BOOST_TEST(Broken.takeEnded(server(1), Start + seconds(1)).empty());
  // The server ended long after the call's connection broke.
  BOOST_TEST(Broken.takeEnded(server(2), Start + seconds(60)).empty());
}

BOOST_AUTO_TEST_CASE(fingerprints_differ_with_each_part_of_a_call) {
  call_fingerprint Call = fingerprintOf("GET", "host", "/a", "body");
  BOOST_TEST(Call == fingerprintOf("GET", "host", "/a", "body"));
  BOOST_TEST(Call != fingerprintOf("POST", "host", "/a", "body"));
  BOOST_TEST(Call != fingerprintOf("GET", "host2", "/a", "body"));
  BOOST_TEST(Call != fingerprintOf("GET", "host", "/b", "body"));
  BOOST_TEST(Call != fingerprintOf("GET", "host", "/a", ""));
  BOOST_TEST(Call != fingerprintOf("GET", "host", "/abody", ""));
  BOOST_TEST(toHex(call_fingerprint(255)) == "00000000000000ff");
}
