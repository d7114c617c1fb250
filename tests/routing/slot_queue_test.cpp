// Tests which calls get a slot of the backend server, which wait and which are
// refused.
#include <boost/test/unit_test.hpp>

#include "routing/slot_queue.h"

using namespace chivebeam;

namespace {

const instant Start = instant(seconds(1'000));

slot_request request(unsigned Number, milliseconds Goal = milliseconds(200),
                     milliseconds Deadline = milliseconds(800)) {
  slot_request Request;
  Request.Call = call_number(Number);
  Request.Route = route_name("r");
  Request.Goal = Start + Goal;
  Request.Deadline = Start + Deadline;
  return Request;
}

/// Returns a queue with recorded service times of 50 ms and all slots busy.
slot_queue busyQueue(unsigned Slots) {
  slot_queue Queue;
  Queue.setSlots(Slots, Start);
  for (unsigned Number = 0; Number < 40; ++Number) {
    slot_request Request = request(Number);
    BOOST_REQUIRE(Queue.arrive(Request, Start) == slot_decision::run);
    Queue.release(Request, milliseconds(50), Start);
  }
  for (unsigned Number = 100; Number < 100 + Slots; ++Number)
    BOOST_REQUIRE(Queue.arrive(request(Number), Start) == slot_decision::run);
  return Queue;
}

} // namespace

BOOST_AUTO_TEST_CASE(never_more_calls_run_than_there_are_slots) {
  slot_queue Queue = busyQueue(4);
  BOOST_TEST(Queue.running() == 4u);
  BOOST_TEST((Queue.arrive(request(1), Start) == slot_decision::wait));
  BOOST_TEST(Queue.running() == 4u);
  slot_update Update = Queue.releaseUnused(Start);
  BOOST_REQUIRE(Update.Started.size() == 1u);
  BOOST_TEST((Update.Started[0] == call_number(1)));
  BOOST_TEST(Queue.running() == 4u);
}

BOOST_AUTO_TEST_CASE(nested_calls_go_first_then_urgency_then_the_goal) {
  slot_queue Queue = busyQueue(4);
  slot_request Late = request(1, milliseconds(200));
  slot_request Early = request(2, milliseconds(150));
  slot_request Urgent = request(3, milliseconds(200));
  slot_request Nested = request(4, milliseconds(200));
  Late.Urgency = Early.Urgency = 2;
  Urgent.Urgency = 1;
  Nested.Urgency = 2;
  Nested.Nested = true;
  for (const slot_request &Request : {Late, Early, Urgent, Nested})
    BOOST_REQUIRE(Queue.arrive(Request, Start) == slot_decision::wait);
  std::vector<std::uint64_t> Order;
  for (int Count = 0; Count < 4; ++Count)
    for (call_number Call : Queue.releaseUnused(Start).Started)
      Order.push_back(Call.value());
  BOOST_TEST(Order == (std::vector<std::uint64_t>{4, 3, 2, 1}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_call_without_time_is_refused_at_once) {
  slot_queue Queue = busyQueue(4);
  slot_request Request = request(1, milliseconds(5), milliseconds(20));
  BOOST_TEST((Queue.arrive(Request, Start) == slot_decision::refuse));
}

BOOST_AUTO_TEST_CASE(a_long_queue_refuses_calls_that_would_miss_their_goal) {
  slot_queue Queue = busyQueue(4);
  unsigned Taken = 0;
  for (unsigned Number = 0; Number < 100; ++Number)
    Taken +=
        Queue.arrive(request(Number), Start) == slot_decision::wait ? 1 : 0;
  // 150 ms are left for waiting, and a slot becomes free every 12.5 ms.
  BOOST_TEST(Taken >= 8u);
  BOOST_TEST(Taken <= 14u);
}

BOOST_AUTO_TEST_CASE(
    a_waiting_call_is_refused_once_it_cannot_meet_its_deadline) {
  slot_queue Queue = busyQueue(4);
  BOOST_REQUIRE(Queue.arrive(request(1), Start) == slot_decision::wait);
  slot_update Update = Queue.refuseUnservable(Start + milliseconds(780));
  BOOST_REQUIRE(Update.Refused.size() == 1u);
  BOOST_TEST((Update.Refused[0] == call_number(1)));
  BOOST_TEST(Queue.waiting() == 0u);
}

BOOST_AUTO_TEST_CASE(an_abandoned_call_is_never_started) {
  slot_queue Queue = busyQueue(4);
  BOOST_REQUIRE(Queue.arrive(request(1), Start) == slot_decision::wait);
  Queue.abandon(call_number(1));
  BOOST_TEST(Queue.releaseUnused(Start).Started.empty());
}

BOOST_AUTO_TEST_CASE(without_slots_every_waiting_call_is_refused) {
  slot_queue Queue = busyQueue(4);
  BOOST_REQUIRE(Queue.arrive(request(1), Start) == slot_decision::wait);
  slot_update Update = Queue.setSlots(0, Start);
  BOOST_TEST(Update.Refused.size() == 1u);
  BOOST_TEST((Queue.arrive(request(2), Start) == slot_decision::refuse));
}

BOOST_AUTO_TEST_CASE(expected_nested_calls_increase_the_expected_wait) {
  slot_queue Queue = busyQueue(4);
  slot_request Outside = request(1);
  microseconds Before = Queue.excessWait(Outside, Start);
  slot_request Nested = request(0);
  Nested.Nested = true;
  for (unsigned Number = 0; Number < 20; ++Number)
    Queue.release(Nested, milliseconds(50), Start);
  for (unsigned Number = 0; Number < 4; ++Number)
    Queue.arrive(request(Number), Start);
  Outside.Goal = Start;
  BOOST_TEST(Queue.excessWait(Outside, Start).count() > Before.count());
}

// Guards against overloading a new backend server that many nodes discover at
// the same moment. Until it has run a call, its queue uses the usual duration
// of such calls on other servers.
BOOST_AUTO_TEST_CASE(a_new_server_takes_no_more_than_it_can_serve) {
  slot_queue Queue;
  Queue.setSlots(6, Start);
  unsigned Taken = 0;
  for (unsigned Number = 0; Number < 80; ++Number) {
    slot_request Request = request(Number, milliseconds(400));
    Request.UsualDuration = milliseconds(250);
    Taken += Queue.arrive(Request, Start) == slot_decision::refuse ? 0 : 1;
  }
  // Six calls run. Calls that can meet their goal wait for at most 150 ms; late
  // calls are accepted while fewer calls wait than half the number of slots.
  BOOST_TEST(Taken >= 6u);
  BOOST_TEST(Taken <= 12u);
}

BOOST_AUTO_TEST_CASE(a_servers_own_durations_override_the_usual_duration) {
  slot_queue Queue = busyQueue(4);
  slot_request Request = request(1, milliseconds(200), milliseconds(400));
  Request.UsualDuration = seconds(5);
  BOOST_TEST((Queue.arrive(Request, Start) == slot_decision::wait));
}
