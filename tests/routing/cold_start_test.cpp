// Tests that a cold backend server gets no more calls than it takes, over
// schedules of reports, ends, restarts of its home node and bursts of calls.
#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "routing/slot_queue.h"

using namespace chivebeam;

namespace {

const instant Begin = instant(seconds(1'000));
constexpr unsigned PerSecond = 14;
constexpr unsigned MaxPerSecond = 21;
constexpr seconds ColdStart{3};
constexpr milliseconds Step{5};

cold_start_limits limits() { return {PerSecond, MaxPerSecond, ColdStart}; }

/// A backend server with more load than it takes, and its home node.
struct server_model {
  slot_queue Queue;
  std::vector<instant> Started;
  unsigned Number = 0;
  instant Now = Begin;

  server_model() { startNode(); }
  void startNode() {
    Queue = slot_queue();
    Queue.setSlots(13, Now);
    Queue.coldStart().setLimits(limits(), Now);
    Queue.coldStart().serverStarted(Now);
  }
  /// Offers a call each few milliseconds; calls end at once.
  void runFor(microseconds Time) {
    for (instant End = Now + Time; Now < End; Now += Step) {
      slot_request Request;
      Request.Call = call_number(++Number);
      Request.Goal = Now;
      Request.Deadline = Now + milliseconds(1);
      Request.UsualDuration = microseconds(1);
      if (Queue.arrive(Request, Now) == slot_decision::run) {
        Started.push_back(Now);
        Queue.releaseUnused(Now);
      } else {
        Queue.abandon(Request.Call);
      }
    }
  }
  /// Returns the most calls in a second that begins after From.
  std::size_t mostSince(instant From) const {
    std::size_t Most = 0;
    auto First = std::lower_bound(Started.begin(), Started.end(), From);
    for (; First != Started.end(); ++First) {
      auto End = std::lower_bound(First, Started.end(), *First + seconds(1));
      Most = std::max<std::size_t>(Most, static_cast<std::size_t>(End - First));
    }
    return Most;
  }
};

enum class event { report_cold, unreachable, node_restart };

} // namespace

// Answers a server whose home node learns in any way, at any time, that it is
// cold: not one second may have more calls than the server takes, although it
// got many shortly before.
BOOST_AUTO_TEST_CASE(no_second_of_a_cold_server_has_too_many_calls) {
  bool Holds = rc::check([] {
    server_model Server;
    auto Warm = *rc::gen::inRange(0, 1'500);
    Server.Queue.coldStart().reported(Server.Now, Server.Now);
    Server.runFor(milliseconds(Warm));
    // Until the cold start ends, anything that may happen to the home node
    // does, except that the server reports that it is warm.
    instant ColdAt = Server.Now;
    instant WarmAt = ColdAt + ColdStart;
    Server.Queue.coldStart().reported(WarmAt, Server.Now);
    while (Server.Now < WarmAt) {
      auto Event = static_cast<event>(*rc::gen::inRange(0, 3));
      if (Event == event::report_cold)
        Server.Queue.coldStart().reported(WarmAt, Server.Now);
      else if (Event == event::unreachable) {
        Server.Queue.coldStart().mayHaveEnded(Server.Now);
        // A report that was sent before the end arrives late.
        Server.Queue.coldStart().reported(Server.Now, Server.Now);
      } else {
        Server.startNode();
      }
      microseconds Time = milliseconds(*rc::gen::inRange(1, 900));
      Server.runFor(std::min(Time, WarmAt - Server.Now));
    }
    // A trickle warms it, whatever happened before.
    Server.Queue.coldStart().reported(WarmAt + ColdStart, Server.Now);
    std::size_t Before = Server.Started.size();
    Server.runFor(milliseconds(1'500));
    RC_ASSERT(Server.Started.size() - Before >= PerSecond);
    RC_ASSERT(Server.mostSince(ColdAt) <= MaxPerSecond);
  });
  BOOST_TEST(Holds);
}

// Answers a limit that outlives the cold start, or that a service without one
// gets.
BOOST_AUTO_TEST_CASE(a_warm_server_gets_all_calls) {
  server_model Server;
  Server.runFor(seconds(1));
  std::size_t Cold = Server.Started.size();
  BOOST_TEST(Cold <= MaxPerSecond);
  BOOST_TEST(Cold >= 10u);
  Server.Queue.coldStart().reported(Server.Now, Server.Now);
  Server.runFor(seconds(1));
  BOOST_TEST(Server.Started.size() - Cold == 200u);
  Server.Queue.coldStart().assumeCold(Server.Now);
  Server.Queue.coldStart().setLimits({}, Server.Now);
  Server.runFor(seconds(1));
  BOOST_TEST(Server.Started.size() - Cold == 400u);
}

// Answers entry nodes that send to a cold server what it has no room for.
BOOST_AUTO_TEST_CASE(the_load_of_a_cold_server_tells_the_wait_for_it) {
  server_model Server;
  while (Server.Started.size() < 3)
    Server.runFor(Step);
  home_load Load = Server.Queue.load(Server.Now);
  BOOST_TEST(Load.StartInterval.count() > 70'000);
  BOOST_TEST(Load.StartWait.count() > 0);
  Server.Queue.coldStart().reported(Server.Now, Server.Now);
  BOOST_TEST(Server.Queue.load(Server.Now).StartInterval.count() == 0);
}
