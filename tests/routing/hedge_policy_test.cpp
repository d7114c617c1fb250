// Tests which calls are hedged, and that copies stay within their budget.
#include <deque>

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include "base/random.h"
#include "routing/hedge_policy.h"

using namespace chivebeam;

namespace {

const route_name Route("read");
constexpr microseconds Usual{100'000};
constexpr microseconds Slow{700'000};
const hedge_copy Copy{Route, Usual};
const instant Start = instant(seconds(1'000));

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
  constexpr milliseconds Interval{10};
  for (unsigned Call = 0; Call < Calls; ++Call) {
    instant Now = Start + Call * Interval;
    Policy.callStarted(Route);
    microseconds Latency = latencyWithTail(Random);
    SlowCalls += Latency > Goal ? 1 : 0;
    std::optional<microseconds> Delay = Policy.delayOf(Route);
    Policy.recordWork(Route, Latency, Now);
    if (Delay && Latency > *Delay && Policy.takeHedge(Copy, &Free, Now)) {
      ++Copies;
      microseconds FirstLeft = Latency - *Delay;
      microseconds CopyTime = std::min(FirstLeft, latencyWithTail(Random));
      Policy.copyEnded(Copy, CopyTime, Now);
      Latency = *Delay + CopyTime;
    }
    LateWithCopies += Latency > Goal ? 1 : 0;
    Policy.recordLatency(Route, Latency);
  }
  BOOST_TEST(Copies <= Calls * 5 / 100 + 5);
  BOOST_TEST(LateWithCopies * 4 < SlowCalls);
  BOOST_TEST(Policy.extraWork() * 100 <= Policy.baseWork() * 5);
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
    Policy.callStarted(Route);
    Policy.recordWork(Route, Usual, Start);
    BOOST_TEST(!Policy.takeHedge(Copy, &Busy, Start));
    BOOST_TEST(!Policy.takeHedge(Copy, &Queued, Start));
    BOOST_TEST(!Policy.takeHedge(Copy, nullptr, Start));
    if (!Policy.takeHedge(Copy, &Free, Start))
      continue;
    ++Copies;
    Policy.copyEnded(Copy, Usual, Start);
  }
  BOOST_TEST(Copies <= 55u);
  BOOST_TEST(Copies >= 45u);
}

// Load: calls by half as much again as the servers can run, between times of
// half of that. No copy is sent while all slots are busy, so nothing is added.
BOOST_AUTO_TEST_CASE(an_overload_gets_no_copies) {
  hedge_policy Policy({10});
  random_source Random(7);
  constexpr unsigned Slots = 12;
  constexpr unsigned CallsInPhase = 5'000;
  const microseconds FullInterval = Usual / Slots;
  instant Now = Start;
  microseconds Backlog{0}; // run time of the calls that run or wait
  std::deque<instant> Due; // when calls that are still open may be copied
  for (int LoadPercent : {50, 150, 50}) {
    unsigned Copies = 0;
    for (unsigned Call = 0; Call < CallsInPhase; ++Call) {
      microseconds Interval = FullInterval * 100 / LoadPercent;
      Now += Interval;
      Backlog = std::max(microseconds(0), Backlog - Interval * Slots);
      auto Open = static_cast<unsigned>(Backlog / Usual);
      home_load Load =
          loadOf(std::min(Open, Slots), Open - std::min(Open, Slots));
      for (; !Due.empty() && Due.front() <= Now; Due.pop_front())
        if (Policy.takeHedge(Copy, &Load, Now)) {
          Policy.copyEnded(Copy, Usual, Now);
          Backlog += Usual;
          ++Copies;
        }
      Policy.callStarted(Route);
      microseconds RunTime = latencyWithTail(Random);
      microseconds Latency = Backlog / Slots + RunTime;
      if (auto Delay = Policy.delayOf(Route); Delay && *Delay < Latency)
        Due.push_back(Now + *Delay);
      Policy.recordLatency(Route, Latency);
      Policy.recordWork(Route, RunTime, Now);
      Backlog += RunTime;
    }
    if (LoadPercent > 100)
      BOOST_TEST(Copies == 0u);
    else
      BOOST_TEST(Copies > 0u);
  }
}

// Load: at times, one server of four runs its calls 2.5 times slower for half a
// second.
BOOST_AUTO_TEST_CASE(calls_of_a_noisy_server_are_late_less_often) {
  hedge_policy Policy({10});
  random_source Random(7);
  const home_load Free = loadOf(3, 0);
  constexpr microseconds Goal{250'000};
  unsigned LateWithout = 0;
  unsigned LateWithCopies = 0;
  for (unsigned Call = 0; Call < 20'000; ++Call) {
    instant Now = Start + Call * milliseconds(10);
    microseconds Usually = Usual / 2 + microseconds(Random.below(100'000));
    bool IsNoisy = Call % 4 == 0 && Call % 1'000 < 50;
    microseconds Latency = Usually * (IsNoisy ? 5 : 2) / 2;
    LateWithout += Latency > Goal ? 1 : 0;
    Policy.callStarted(Route);
    Policy.recordWork(Route, Latency, Now);
    std::optional<microseconds> Delay = Policy.delayOf(Route);
    if (Delay && Latency > *Delay && Policy.takeHedge(Copy, &Free, Now)) {
      microseconds CopyTime = std::min(
          Latency - *Delay, Usual / 2 + microseconds(Random.below(100'000)));
      Policy.copyEnded(Copy, CopyTime, Now);
      Latency = *Delay + CopyTime;
    }
    LateWithCopies += Latency > Goal ? 1 : 0;
    Policy.recordLatency(Route, Latency);
  }
  BOOST_TEST(LateWithout > 100u);
  BOOST_TEST(LateWithCopies < LateWithout);
}

BOOST_AUTO_TEST_CASE(nothing_is_hedged_unless_it_is_configured) {
  hedge_policy Policy({0});
  const home_load Free = loadOf(0, 0);
  for (unsigned Call = 0; Call < 100; ++Call) {
    Policy.callStarted(Route);
    Policy.recordLatency(Route, Usual);
    Policy.recordWork(Route, Usual, Start);
  }
  BOOST_TEST(!Policy.delayOf(Route));
  BOOST_TEST(!Policy.takeHedge(Copy, &Free, Start));
  BOOST_TEST(Policy.baseWork().count() == 0);
}

// Load: copies that take seven times as long as usual. Each holds back further
// ones until the calls make up for it or it leaves the window.
BOOST_AUTO_TEST_CASE(long_copies_hold_back_further_ones) {
  hedge_policy Policy({5});
  const home_load Free = loadOf(3, 0);
  for (unsigned Call = 0; Call < 100; ++Call) {
    Policy.callStarted(Route);
    Policy.recordWork(Route, Usual, Start);
  }
  BOOST_TEST(Policy.takeHedge(Copy, &Free, Start));
  Policy.copyEnded(Copy, Slow, Start);
  BOOST_TEST(!Policy.takeHedge(Copy, &Free, Start));
  for (unsigned Call = 0; Call < 60; ++Call)
    Policy.recordWork(Route, Usual, Start);
  BOOST_TEST(Policy.takeHedge(Copy, &Free, Start));
  BOOST_TEST(!Policy.takeHedge(Copy, &Free, Start)); // the first one is open
  Policy.copyEnded(Copy, microseconds(0), Start);
  instant Later = Start + hedge_budget::Window;
  BOOST_TEST(!Policy.takeHedge(Copy, &Free, Later));
  Policy.recordWork(Route, 20 * Usual, Later);
  BOOST_TEST(Policy.takeHedge(Copy, &Free, Later));
}

BOOST_AUTO_TEST_CASE(a_route_may_have_a_lower_limit_or_none) {
  const route_name Excluded("pictures");
  const route_name Lowered("search");
  hedge_policy Policy({10, {{Excluded, 0}, {Lowered, 2}}});
  const home_load Free = loadOf(3, 0);
  std::map<route_name, unsigned> Copies;
  for (unsigned Call = 0; Call < 1'000; ++Call)
    for (const route_name &Each : {Excluded, Lowered, Route}) {
      Policy.callStarted(Each);
      Policy.recordLatency(Each, Usual);
      Policy.recordWork(Each, Usual, Start);
      if (!Policy.takeHedge({Each, Usual}, &Free, Start))
        continue;
      ++Copies[Each];
      Policy.copyEnded({Each, Usual}, Usual, Start);
    }
  BOOST_TEST(!Policy.delayOf(Excluded));
  BOOST_TEST(Copies[Excluded] == 0u);
  BOOST_TEST(Copies[Lowered] <= 20u);
  BOOST_TEST(Copies[Lowered] >= 15u);
  BOOST_TEST(Copies[Lowered] + Copies[Route] <= 200u);
}

// Load: all calls of a route take three times as long from some time on, and as
// before later. The delay follows, so that usual calls aren't copied.
BOOST_AUTO_TEST_CASE(the_delay_follows_the_latency) {
  hedge_policy Policy({5});
  random_source Random(7);
  for (int Factor : {1, 3, 1}) {
    for (unsigned Call = 0; Call < 3'000; ++Call)
      Policy.recordLatency(Route, Factor * latencyWithTail(Random));
    BOOST_REQUIRE(Policy.delayOf(Route).has_value());
    BOOST_TEST(Policy.delayOf(Route)->count() > (Usual * Factor).count());
    BOOST_TEST(Policy.delayOf(Route)->count() < (Usual * Factor * 2).count());
  }
}

// The bound of docs/design/hedged-requests.md, for copies that take no longer
// than expected: of any calls, since the start and within any window.
BOOST_AUTO_TEST_CASE(extra_work_stays_within_the_limit) {
  struct work {
    instant At;
    microseconds Base{0};
    microseconds Extra{0};
  };
  bool Held = rc::check([](const std::vector<std::uint16_t> &Steps) {
    const auto Percent = *rc::gen::inRange(0U, 21U);
    hedge_policy Policy({Percent});
    const home_load Free = loadOf(0, 0);
    std::vector<work> History;
    std::vector<hedge_copy> Open;
    instant Now = Start;
    std::size_t Taken = 0;
    for (std::size_t Step = 0; Step < Steps.size() * 10; ++Step) {
      unsigned Number = Steps[Step % Steps.size()] + unsigned(Step);
      Now += milliseconds(Number % 400);
      Policy.callStarted(Route);
      work Work{Now, Number % 3 * Usual};
      Policy.recordWork(Route, Work.Base, Now);
      const hedge_copy Next{Route, milliseconds(Number % 900 + 1)};
      if (Policy.takeHedge(Next, &Free, Now)) {
        Open.push_back(Next);
        ++Taken;
      } else if (!Open.empty() && Step % 20 > 9) {
        Work.Extra = Open.back().Expected / (Number % 2 + 1);
        Policy.copyEnded(Open.back(), Work.Extra, Now);
        Open.pop_back();
      }
      History.push_back(Work);
      microseconds Base{0};
      microseconds Extra{0};
      for (const work &Past : History) {
        Base += Past.At > Now - 2 * hedge_budget::Window ? Past.Base
                                                         : microseconds(0);
        Extra += Past.At > Now - hedge_budget::Window * 95 / 100
                     ? Past.Extra
                     : microseconds(0);
      }
      RC_ASSERT(Extra * 100 <= Base * Percent);
      RC_ASSERT(Policy.extraWork() * 100 <= Policy.baseWork() * Percent);
      RC_ASSERT(Taken * 100 <= (Step + 1) * Percent + 500);
    }
  });
  BOOST_TEST(Held);
}
