// Decisions about clients that hold memory or connections.
#include <boost/test/unit_test.hpp>

#include "limits/answer_pace.h"
#include "limits/crowd_control.h"

using namespace chivebeam;

namespace {

const door_limits Limits;

} // namespace

// Load: a crowd that sends a byte at a time, beside an upload on a slow link
// and a request that has just begun.
BOOST_AUTO_TEST_CASE(the_request_that_moves_least_is_ended_first) {
  std::vector<transfer_progress> Requests{{2'000, seconds(1)},
                                          {10, seconds(1)},
                                          {1, milliseconds(100)},
                                          {10, seconds(2)},
                                          {300, seconds(1)}};
  BOOST_TEST(crowd_control::slowest(Requests, 9, Limits) ==
                 (std::vector<std::size_t>{3, 1, 4}),
             boost::test_tools::per_element());
  BOOST_TEST(crowd_control::slowest(Requests, 1, Limits).size() == 1u);
}

// Load: a crowd that reads large answers at 0 and 200 bytes a second behind
// buffers of 64 KiB, beside a caller on a slow link that makes room in steps,
// one with a lost packet, and requests that arrive slowly.
BOOST_AUTO_TEST_CASE(the_answer_that_is_read_least_is_ended_first) {
  constexpr std::uint64_t Buffer = 64 << 10;
  answer_pace Stopped;
  answer_pace Slow;
  answer_pace InSteps;
  answer_pace Lossy;
  std::vector<transfer_progress> Transfers;
  for (milliseconds At{0}; At <= seconds(4); At += milliseconds(50)) {
    instant Now = instant() + At;
    auto Ms = static_cast<std::uint64_t>(At.count());
    // What the kernel of a client takes at first is not read.
    std::uint64_t Buffered = Ms < 200 ? 0 : Buffer;
    Transfers = {
        Stopped.observe(Now, Buffered, Limits),
        Slow.observe(Now, Buffered + Ms / 5, Limits),
        InSteps.observe(Now, Buffered + Ms / 1'500 * 4'096, Limits),
        Lossy.observe(Now, Buffered + std::min<std::uint64_t>(Ms, 2'800) * 100,
                      Limits),
        {300, seconds(1)},
        {2'000, seconds(1)}};
    if (Ms < 2'000)
      BOOST_TEST(crowd_control::slowest(Transfers, 1, Limits).front() == 4u);
  }
  BOOST_TEST(crowd_control::slowest(Transfers, 9, Limits) ==
                 (std::vector<std::size_t>{0, 1, 4}),
             boost::test_tools::per_element());
}

// Load: an answer that waits long after one that was read at once.
BOOST_AUTO_TEST_CASE(the_pace_of_an_earlier_answer_does_not_count) {
  answer_pace Pace;
  Pace.observe(instant(), 100, Limits);
  Pace.reset();
  BOOST_TEST((Pace.observe(instant() + seconds(9), 100, Limits).Age ==
              microseconds(0)));
}

// Load: more clients than descriptors, on a large and on a small machine.
BOOST_AUTO_TEST_CASE(connections_fit_the_descriptors) {
  BOOST_TEST(connection_limit::ofCallers(4'100, Limits) == 3'600u);
  BOOST_TEST(connection_limit::ofCallers(600, Limits) == 150u);
}
