#include <cstdlib>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "claim_simulation.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

constexpr int MaxCallers = 5;
constexpr int MaxFaults = 8;
constexpr int MaxStep = 80;
constexpr int MaxStartMs = 4'000;
constexpr int Bodies = 2;

rc::Gen<planned_call> anyCall() {
  return rc::gen::map(rc::gen::pair(rc::gen::inRange(0, MaxStartMs),
                                    rc::gen::inRange(1, Bodies + 1)),
                      [](const std::pair<int, int> &Drawn) {
                        return planned_call{
                            milliseconds(Drawn.first),
                            static_cast<std::uint64_t>(Drawn.second)};
                      });
}

rc::Gen<planned_fault> anyFault() {
  return rc::gen::map(rc::gen::pair(rc::gen::inRange(0, MaxStep),
                                    rc::gen::inRange(0, FaultCount)),
                      [](const std::pair<int, int> &Drawn) {
                        return planned_fault{
                            static_cast<std::size_t>(Drawn.first),
                            static_cast<fault>(Drawn.second)};
                      });
}

} // namespace

BOOST_AUTO_TEST_CASE(no_random_schedule_runs_a_key_twice) {
  ::setenv("RC_PARAMS", "seed=20261204 max_success=4000", 1);
  bool PropertyHolds =
      rc::check("a key runs at most once and not-run is true", [] {
        auto Calls = *rc::gen::container<std::vector<planned_call>>(
            static_cast<std::size_t>(*rc::gen::inRange(1, MaxCallers + 1)),
            anyCall());
        auto Faults = *rc::gen::container<std::vector<planned_fault>>(
            static_cast<std::size_t>(*rc::gen::inRange(0, MaxFaults + 1)),
            anyFault());
        claim_simulation Simulation(Calls, Faults);
        Simulation.run();
        RC_ASSERT(Simulation.executions() <= 1u);
        for (std::size_t Caller = 0; Caller < Simulation.callers(); ++Caller) {
          if (Simulation.answerOf(Caller) == caller_result::not_run)
            RC_ASSERT(!Simulation.executed(Caller));
          if (Simulation.answerOf(Caller) == caller_result::ran)
            RC_ASSERT(Simulation.executions() == 1u);
        }
      });
  BOOST_TEST(PropertyHolds);
}
