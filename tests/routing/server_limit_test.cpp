// Tests which rate limit of a backend server is in force, that calls start at
// no higher rate, and how a service fares whose servers limit their rates.
#include <algorithm>
#include <cstdlib>
#include <deque>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "routing/expected_latency_picker.h"
#include "routing/server_limit_tracker.h"
#include "routing/slot_queue.h"

using namespace chivebeam;

namespace {

const instant Start = instant(seconds(1'000));
constexpr seconds Window{4};
constexpr double AllowedFactor = 1.5;
constexpr double AllowedExtra = 5;

server_notice limitOf(double PerSecond) {
  server_notice Notice;
  Notice.RateLimit = call_rate{PerSecond};
  return Notice;
}

bool keepsTo(double PerSecond, const std::vector<instant> &Starts) {
  for (std::size_t First = 0; First < Starts.size(); ++First) {
    auto End =
        std::lower_bound(Starts.begin(), Starts.end(), Starts[First] + Window);
    auto Calls =
        static_cast<double>(End - Starts.begin()) - static_cast<double>(First);
    if (Calls > AllowedFactor * PerSecond * Window.count() + AllowedExtra)
      return false;
  }
  return true;
}

slot_request request(unsigned Number, instant Now,
                     milliseconds Deadline = milliseconds(800)) {
  slot_request Request;
  Request.Call = call_number(Number);
  Request.Route = route_name("r");
  Request.Goal = Now + milliseconds(200);
  Request.Deadline = Now + Deadline;
  return Request;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_newest_answer_names_the_limit) {
  server_limit_tracker Tracker;
  BOOST_TEST(Tracker.answered(limitOf(20), Start, Start + milliseconds(10)));
  BOOST_TEST(!Tracker.answered(limitOf(20), Start, Start + milliseconds(20)));
  BOOST_TEST(Tracker.answered(limitOf(5), Start, Start + milliseconds(30)));
  BOOST_TEST(Tracker.limit()->PerSecond == 5);
  Tracker.reset();
  BOOST_TEST(!Tracker.limit());
}

BOOST_AUTO_TEST_CASE(answers_that_overtake_each_other_do_not_end_a_limit) {
  server_limit_tracker Tracker;
  Tracker.answered(limitOf(20), Start, Start + milliseconds(50));
  BOOST_TEST(!Tracker.answered({}, Start + milliseconds(40),
                               Start + milliseconds(60)));
  BOOST_TEST(Tracker.limit().has_value());
  BOOST_TEST(
      Tracker.answered({}, Start + milliseconds(55), Start + milliseconds(70)));
  BOOST_TEST(!Tracker.limit());
}

BOOST_AUTO_TEST_CASE(a_limit_that_cannot_be_read_changes_nothing) {
  server_limit_tracker Tracker;
  server_notice Invalid;
  Invalid.IsRateLimitInvalid = true;
  BOOST_TEST(!Tracker.answered(Invalid, Start, Start));
  BOOST_TEST(!Tracker.limit());
  Tracker.answered(limitOf(20), Start, Start);
  BOOST_TEST(
      !Tracker.answered(Invalid, Start + seconds(1), Start + seconds(2)));
  BOOST_TEST(Tracker.limit()->PerSecond == 20);
}

BOOST_AUTO_TEST_CASE(a_limit_seen_elsewhere_counts_until_the_first_answer) {
  server_limit_tracker Tracker;
  BOOST_TEST(Tracker.seenElsewhere({3}));
  BOOST_TEST(!Tracker.seenElsewhere({4}));
  BOOST_TEST(Tracker.limit()->PerSecond == 3);
  BOOST_TEST(Tracker.answered({}, Start, Start + milliseconds(10)));
  BOOST_TEST(!Tracker.seenElsewhere({3}));
}

BOOST_AUTO_TEST_CASE(no_window_has_more_calls_than_the_limit_allows) {
  ::setenv("RC_PARAMS", "seed=20261204", 1);
  bool Holds = rc::check("calls start within the limit", [] {
    double PerSecond = *rc::gen::inRange(0, 3'000) / 10.0;
    start_rate_limiter Limiter;
    Limiter.setLimit(call_rate{PerSecond}, Start);
    std::vector<instant> Starts;
    instant Now = Start;
    while (Now < Start + seconds(12)) {
      if (Limiter.allows(Now)) {
        Limiter.callStarted(Now);
        Starts.push_back(Now);
      }
      Now += milliseconds(*rc::gen::inRange(1, 40));
      // The same limit, named again by each answer, adds no calls.
      Limiter.setLimit(call_rate{PerSecond}, Now);
    }
    RC_ASSERT(keepsTo(PerSecond, Starts));
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_CASE(a_server_that_takes_no_calls_is_asked_now_and_then) {
  start_rate_limiter Limiter;
  Limiter.setLimit(call_rate{0}, Start);
  BOOST_TEST(!Limiter.allows(Start + seconds(1)));
  BOOST_REQUIRE(Limiter.allows(Start + seconds(3)));
  Limiter.callStarted(Start + seconds(3));
  BOOST_TEST(!Limiter.allows(Start + seconds(4)));
}

BOOST_AUTO_TEST_CASE(a_call_waits_for_the_rate_only_if_it_can_end_in_time) {
  slot_queue Queue;
  Queue.setSlots(4, Start);
  Queue.setRateLimit(call_rate{4}, Start - milliseconds(250));
  BOOST_TEST((Queue.arrive(request(1, Start), Start) == slot_decision::run));
  BOOST_TEST((Queue.arrive(request(2, Start), Start) == slot_decision::wait));
  BOOST_TEST((Queue.arrive(request(3, Start, milliseconds(300)), Start) ==
              slot_decision::refuse));
  std::optional<microseconds> Wait = Queue.timeUntilStart(Start);
  BOOST_REQUIRE(Wait.has_value());
  BOOST_TEST((*Wait == milliseconds(250)));
  BOOST_TEST(Queue.startDue(Start + milliseconds(200)).Started.empty());
  BOOST_TEST(Queue.startDue(Start + *Wait).Started.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_call_that_another_one_pushes_back_is_refused_at_once) {
  slot_queue Queue;
  Queue.setSlots(4, Start);
  Queue.setRateLimit(call_rate{2}, Start);
  BOOST_TEST((Queue.arrive(request(1, Start), Start) == slot_decision::wait));
  slot_request Urgent = request(2, Start);
  Urgent.Goal -= milliseconds(1);
  BOOST_TEST((Queue.arrive(Urgent, Start) == slot_decision::wait));
  slot_update Update = Queue.refuseUnservable(Start + milliseconds(1));
  BOOST_TEST(Update.Refused == std::vector{call_number(1)},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(nested_calls_get_the_next_start_first) {
  slot_queue Queue;
  Queue.setSlots(4, Start);
  Queue.setRateLimit(call_rate{4}, Start - milliseconds(250));
  Queue.arrive(request(1, Start), Start);
  Queue.arrive(request(2, Start), Start);
  slot_request Nested = request(3, Start);
  Nested.Nested = true;
  BOOST_TEST((Queue.arrive(Nested, Start) == slot_decision::wait));
  slot_update Update = Queue.startDue(Start + milliseconds(250));
  BOOST_REQUIRE(Update.Started.size() == 1u);
  BOOST_TEST((Update.Started[0] == call_number(3)));
}

namespace {

/// A service whose callers enter at a few nodes, in virtual time without a
/// network. Calls take a fixed time; answers arrive at once.
class service_simulation {
public:
  static constexpr unsigned Servers = 10;
  static constexpr unsigned Entries = 4;
  static constexpr unsigned Slots = 6;
  static constexpr milliseconds Duration{60};

  service_simulation() {
    for (unsigned Server = 0; Server < Servers; ++Server) {
      Homes.emplace_back().Queue.setSlots(Slots, Start);
      endpoint Endpoint;
      Endpoint.Node = node_id("home-" + std::to_string(Server));
      Endpoint.Domain = failure_domain("a");
      Endpoint.Slots = Slots;
      Endpoint.Worker = worker_id("w-" + std::to_string(Server));
      Group.Local.push_back(Endpoint);
    }
    for (unsigned Entry = 0; Entry < Entries; ++Entry)
      Pickers.emplace_back(failure_domain("a"), Entry + 1);
  }

  /// Lets the first Count servers name this limit.
  void limit(unsigned Count, double PerSecond) {
    for (unsigned Server = 0; Server < Count; ++Server)
      Homes[Server].Queue.setRateLimit(call_rate{PerSecond}, Now);
  }
  void run(double CallsPerSecond, seconds Time) {
    auto Gap = microseconds(static_cast<std::int64_t>(1e6 / CallsPerSecond));
    for (instant Until = Now + Time; Now < Until; Now += Gap) {
      endDue();
      send();
    }
  }

  struct home {
    slot_queue Queue;
    std::vector<instant> Starts;
  };
  std::vector<home> Homes;
  unsigned Sent = 0;
  unsigned Served = 0;
  unsigned Refused = 0;
  unsigned Asked = 0; ///< home nodes, for all calls together

private:
  struct open_call {
    slot_request Slot;
    unsigned Entry = 0;
    unsigned Server = 0;
    instant EndsAt; ///< zero: it waits
  };

  void send() {
    ++Sent;
    unsigned Entry = Sent % Entries;
    slot_request Slot = request(Sent, Now);
    std::set<node_id> Tried;
    call_needs Needs{route_name("r"), milliseconds(200), milliseconds(800)};
    while (const endpoint *Chosen =
               Pickers[Entry].pickFor(Group, Tried, Needs, Now)) {
      ++Asked;
      Tried.insert(Chosen->Node);
      auto Server = static_cast<unsigned>(Chosen - Group.Local.data());
      Pickers[Entry].callStarted(*Chosen, Now);
      slot_decision Decision = Homes[Server].Queue.arrive(Slot, Now);
      if (Decision != slot_decision::refuse) {
        open_call Call{Slot, Entry, Server, {}};
        if (Decision == slot_decision::run)
          start(Call);
        Open.push_back(Call);
        return;
      }
      report(Entry, Server, call_verdict::refused,
             Homes[Server].Queue.excessWait(Slot, Now));
    }
    ++Refused;
  }
  void start(open_call &Call) {
    Homes[Call.Server].Starts.push_back(Now);
    Call.EndsAt = Now + Duration;
  }
  void report(unsigned Entry, unsigned Server, call_verdict Verdict,
              microseconds RetryAfter) {
    call_observation Observed;
    Observed.Verdict = Verdict;
    Observed.Latency = Duration;
    Observed.Load = Homes[Server].Queue.load(Now);
    Observed.RetryAfter = RetryAfter;
    Pickers[Entry].callEnded(service_name("s"), Group.Local[Server], Observed,
                             Now);
  }
  void apply(const slot_update &Update) {
    for (open_call &Call : Open)
      if (std::count(Update.Started.begin(), Update.Started.end(),
                     Call.Slot.Call) > 0)
        start(Call);
    std::erase_if(Open, [&](const open_call &Call) {
      bool IsRefused = std::count(Update.Refused.begin(), Update.Refused.end(),
                                  Call.Slot.Call) > 0;
      Refused += IsRefused ? 1 : 0;
      return IsRefused;
    });
  }
  void endDue() {
    std::vector<open_call> Ended;
    std::erase_if(Open, [&](const open_call &Call) {
      bool Due = Call.EndsAt != instant() && Call.EndsAt <= Now;
      if (Due)
        Ended.push_back(Call);
      return Due;
    });
    for (const open_call &Call : Ended) {
      ++Served;
      apply(Homes[Call.Server].Queue.release(Call.Slot, Duration, Now));
      report(Call.Entry, Call.Server, call_verdict::served, {});
    }
    for (home &Home : Homes)
      apply(Home.Queue.startDue(Now));
  }

  instant Now = Start;
  endpoint_group Group;
  std::deque<expected_latency_picker> Pickers;
  std::vector<open_call> Open;
};

} // namespace

// Guards against servers that get more than their limits while callers keep
// their rate, and against entry nodes that keep asking servers without room.
BOOST_AUTO_TEST_CASE(most_servers_of_a_service_halve_their_rate) {
  constexpr double CallsPerSecond = 500; // each server has 50 of them
  constexpr unsigned Limited = 7;
  constexpr double Limit = 25;
  service_simulation Service;
  Service.run(CallsPerSecond, seconds(3));
  BOOST_TEST(Service.Refused == 0u);
  Service.limit(Limited, Limit);
  for (auto &Home : Service.Homes)
    Home.Starts.clear();
  unsigned SentBefore = Service.Sent;
  unsigned ServedBefore = Service.Served;
  unsigned AskedBefore = Service.Asked;
  Service.run(CallsPerSecond, seconds(10));
  for (unsigned Server = 0; Server < Limited; ++Server)
    BOOST_TEST(keepsTo(Limit, Service.Homes[Server].Starts));
  // The limited servers and the three others, 100 calls a second each, take 475
  // calls a second.
  unsigned Sent = Service.Sent - SentBefore;
  BOOST_TEST(Service.Served - ServedBefore > Sent * 85 / 100);
  BOOST_TEST(Service.Asked - AskedBefore < Sent * 2);
}
