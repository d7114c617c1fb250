#include <boost/test/unit_test.hpp>

#include "claim_simulation.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

/// Start of the last call, after the effects of all faults have ended.
constexpr milliseconds AfterAllFaults{9'000};
constexpr std::uint64_t OtherBody = 2;

using scenario = std::vector<planned_call>;

const scenario &oneCaller() {
  static const scenario Calls{{milliseconds(0)}, {AfterAllFaults}};
  return Calls;
}
const scenario &twoCallers() {
  static const scenario Calls{
      {milliseconds(0)}, {milliseconds(0)}, {AfterAllFaults}};
  return Calls;
}
const scenario &twoBodies() {
  static const scenario Calls{
      {milliseconds(0)}, {milliseconds(1), OtherBody}, {AfterAllFaults}};
  return Calls;
}

/// Checks what must hold after every run; returns a description of the
/// violation, empty if there is none.
std::string findViolation(const claim_simulation &Simulation) {
  if (Simulation.executions() > 1)
    return "the key ran twice";
  for (std::size_t Caller = 0; Caller < Simulation.callers(); ++Caller) {
    caller_result Result = Simulation.answerOf(Caller);
    if (Result == caller_result::not_run && Simulation.executed(Caller))
      return "a call that ran was reported as not-run";
    if (Result == caller_result::ran && Simulation.executions() == 0)
      return "a call was reported as run, but none ran";
  }
  std::size_t Last = Simulation.callers() - 1;
  if (Simulation.answerOf(Last) == caller_result::nothing)
    return "the last caller got no answer";
  if (Simulation.answerOf(Last) == caller_result::not_run &&
      !Simulation.hadFaultSince(Last) &&
      Simulation.verdictFor(Last) != claim_verdict::other_request)
    return "the last caller was refused although no fault was active";
  return "";
}

std::string textOf(const std::vector<planned_fault> &Faults) {
  std::string Text;
  for (const planned_fault &Fault : Faults)
    Text += " step " + std::to_string(Fault.Step) + " fault " +
            std::to_string(static_cast<int>(Fault.Kind));
  return Text;
}

struct exploration_result {
  std::size_t Runs = 0;
  std::size_t Ran = 0; ///< runs in which the call with the key was executed
  std::vector<std::string> Violations;
};

std::size_t runOnce(const scenario &Calls,
                    const std::vector<planned_fault> &Faults,
                    exploration_result &Result) {
  claim_simulation Simulation(Calls, Faults);
  std::size_t Steps = Simulation.run();
  ++Result.Runs;
  Result.Ran += Simulation.executions() > 0 ? 1 : 0;
  std::string Violation = findViolation(Simulation);
  if (!Violation.empty())
    Result.Violations.push_back(Violation + ":" + textOf(Faults));
  return Steps;
}

/// Runs the scenario with every fault at every step. With a Depth of 2, runs
/// each of these again with every second fault at the same or a later step.
void tryFaults(const scenario &Calls, std::vector<planned_fault> Faults,
               unsigned Depth, exploration_result &Result) {
  std::size_t Steps = runOnce(Calls, Faults, Result);
  if (Depth == 0)
    return;
  std::size_t From = Faults.empty() ? 0 : Faults.back().Step;
  for (std::size_t Step = From; Step < Steps; ++Step)
    for (int Kind = 0; Kind < FaultCount; ++Kind) {
      Faults.push_back({Step, static_cast<fault>(Kind)});
      tryFaults(Calls, Faults, Depth - 1, Result);
      Faults.pop_back();
    }
}

void checkEveryFault(const scenario &Calls, unsigned Depth) {
  exploration_result Result;
  tryFaults(Calls, {}, Depth, Result);
  BOOST_TEST_MESSAGE(Result.Runs
                     << " runs, the key ran in " << Result.Ran
                     << ", violations: " << Result.Violations.size());
  BOOST_TEST(
      Result.Violations.empty(),
      Result.Violations.size()
          << " of " << Result.Runs << ", first "
          << (Result.Violations.empty() ? "" : Result.Violations.front()));
  BOOST_TEST(Result.Ran > Result.Runs / 2);
}

} // namespace

BOOST_AUTO_TEST_CASE(without_faults_the_first_caller_runs) {
  claim_simulation Simulation(twoCallers(), {});
  Simulation.run();
  BOOST_TEST(Simulation.executions() == 1u);
  BOOST_TEST((Simulation.answerOf(0) == caller_result::ran));
  BOOST_TEST((Simulation.answerOf(1) == caller_result::ran));
  BOOST_TEST((Simulation.answerOf(2) == caller_result::ran));
}

BOOST_AUTO_TEST_CASE(one_caller_with_every_pair_of_faults) {
  checkEveryFault(oneCaller(), 2);
}

BOOST_AUTO_TEST_CASE(two_callers_with_one_key_with_every_pair_of_faults) {
  checkEveryFault(twoCallers(), 2);
}

BOOST_AUTO_TEST_CASE(two_bodies_with_one_key_with_every_pair_of_faults) {
  checkEveryFault(twoBodies(), 2);
}
