// Tests which calls are hedged, and that copies stay within their budget.
#include <boost/test/unit_test.hpp>

#include "base/random.h"
#include "routing/hedge_policy.h"

using namespace chivebeam;

namespace {

const route_name Route("read");
constexpr microseconds Usual{100'000};
constexpr microseconds Slow{700'000};

home_load loadOf(unsigned Running, unsigned Waiting) {
  home_load Load;
  Load.Running = Running;
  Load.Waiting = Waiting;
  Load.Limit = 12;
  return Load;
}

/// Three calls in a hundred take seven times as long; the others vary by half.
microseconds latencyWithTail(random_source &Random) {
  if (Random.below(100) < 3)
    return Slow;
  return Usual / 2 + microseconds(Random.below(100'000));
}

} // namespace

// Load: a long tail on free servers. Only calls of the tail are copied, and a
// call that the copy overtakes ends soon after the delay.
BOOST_AUTO_TEST_CASE(calls_of_a_long_tail_are_hedged) {
  hedge_policy Policy({5});
  random_source Random(7);
  unsigned Copies = 0;
  unsigned SlowCalls = 0;
  unsigned LateWithCopies = 0;
  const home_load Free = loadOf(3, 0);
  constexpr unsigned Calls = 20'000;
  constexpr microseconds Goal{400'000};
  for (unsigned Call = 0; Call < Calls; ++Call) {
    Policy.callStarted();
    microseconds Latency = latencyWithTail(Random);
    SlowCalls += Latency > Goal ? 1 : 0;
    std::optional<microseconds> Delay = Policy.delayOf(Route);
    if (Delay && Latency > *Delay && Policy.takeHedge(&Free)) {
      ++Copies;
      Latency = std::min(Latency, *Delay + latencyWithTail(Random));
    }
    LateWithCopies += Latency > Goal ? 1 : 0;
    Policy.recordLatency(Route, Latency);
  }
  BOOST_TEST(Copies <= Calls * 5 / 100 + 5);
  BOOST_TEST(LateWithCopies * 4 < SlowCalls);
}

// Load: all calls become slow together, as in an overload. Copies stay within
// the limit, and there are none while the servers have no free slot.
BOOST_AUTO_TEST_CASE(copies_do_not_add_to_a_shortage) {
  hedge_policy Policy({5});
  for (unsigned Call = 0; Call < 100; ++Call)
    Policy.recordLatency(Route, Usual);
  const home_load Free = loadOf(3, 0);
  const home_load Busy = loadOf(11, 0);
  const home_load Queued = loadOf(3, 1);
  unsigned Copies = 0;
  for (unsigned Call = 0; Call < 1'000; ++Call) {
    Policy.callStarted();
    BOOST_TEST(!Policy.takeHedge(&Busy));
    BOOST_TEST(!Policy.takeHedge(&Queued));
    BOOST_TEST(!Policy.takeHedge(nullptr));
    Copies += Policy.takeHedge(&Free) ? 1 : 0;
  }
  BOOST_TEST(Copies <= 55u);
  BOOST_TEST(Copies >= 45u);
}

BOOST_AUTO_TEST_CASE(nothing_is_hedged_unless_it_is_configured) {
  hedge_policy Policy({0});
  const home_load Free = loadOf(0, 0);
  for (unsigned Call = 0; Call < 100; ++Call) {
    Policy.callStarted();
    Policy.recordLatency(Route, Usual);
  }
  BOOST_TEST(!Policy.delayOf(Route));
  BOOST_TEST(!Policy.takeHedge(&Free));
}
