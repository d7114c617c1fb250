#include <boost/test/unit_test.hpp>

#include "routing/retry_budget.h"
#include "routing/version_splitter.h"
#include "routing/worker_health.h"
#include "routing/worker_picker.h"

using namespace chivebeam;

namespace {

const instant Start{std::chrono::hours(1'000)};
const service_name Desk("desk");

endpoint makeEndpoint(std::string Name, std::string Domain = "a") {
  endpoint Endpoint;
  Endpoint.Node = node_id(std::move(Name));
  Endpoint.Domain = failure_domain(std::move(Domain));
  Endpoint.Version = version_name("1");
  Endpoint.Slots = 4;
  return Endpoint;
}

endpoint_group makeGroup(unsigned Locals, unsigned Remotes = 0) {
  endpoint_group Group;
  for (unsigned Index = 0; Index < Locals; ++Index)
    Group.Local.push_back(makeEndpoint("l" + std::to_string(Index)));
  for (unsigned Index = 0; Index < Remotes; ++Index)
    Group.Remote.push_back(makeEndpoint("r" + std::to_string(Index), "b"));
  return Group;
}

/// A picker whose calls end as soon as they start.
class picker_fixture {
public:
  explicit picker_fixture(endpoint_group NewGroup)
      : Group(std::move(NewGroup)), Picker(failure_domain("a"), 7) {}

  const endpoint *pick() { return Picker.pick(Desk, Group, Excluded, Now); }
  const endpoint *call(call_verdict Verdict = call_verdict::served,
                       microseconds Latency = milliseconds(5)) {
    const endpoint *Chosen = pick();
    if (Chosen)
      end(*Chosen, Verdict, Latency);
    return Chosen;
  }
  void end(const endpoint &Endpoint, call_verdict Verdict,
           microseconds Latency = milliseconds(5)) {
    Picker.callStarted(Endpoint, Now);
    call_observation Observation;
    Observation.Verdict = Verdict;
    Observation.Latency = Latency;
    Picker.callEnded(Desk, Endpoint, Observation, Now);
  }
  /// Starts calls that stay open and counts them by node.
  std::map<node_id, unsigned> spread(unsigned Calls) {
    std::map<node_id, unsigned> Counts;
    for (unsigned Call = 0; Call < Calls; ++Call) {
      const endpoint *Chosen = pick();
      Picker.callStarted(*Chosen, Now);
      ++Counts[Chosen->Node];
    }
    return Counts;
  }

  endpoint_group Group;
  worker_picker Picker;
  std::set<node_id> Excluded;
  instant Now = Start;
};

} // namespace

BOOST_AUTO_TEST_CASE(open_calls_are_spread_evenly) {
  picker_fixture Fixture(makeGroup(4));
  for (const auto &[Node, Count] : Fixture.spread(40))
    BOOST_TEST((Count >= 8 && Count <= 12), Node << " got " << Count);
}

BOOST_AUTO_TEST_CASE(the_local_domain_is_preferred_until_it_is_busy) {
  picker_fixture Fixture(makeGroup(2, 2));
  Fixture.Picker.connected(failure_domain("a"), microseconds(100));
  Fixture.Picker.connected(failure_domain("b"), microseconds(3'100));
  Fixture.call();
  auto Counts = Fixture.spread(4);
  BOOST_TEST(Counts.count(node_id("r0")) + Counts.count(node_id("r1")) == 0u);
  Counts = Fixture.spread(16);
  BOOST_TEST(Counts[node_id("r0")] + Counts[node_id("r1")] > 0u);
}

BOOST_AUTO_TEST_CASE(a_remote_domain_is_used_for_long_calls) {
  picker_fixture Fixture(makeGroup(2, 2));
  Fixture.Picker.connected(failure_domain("a"), microseconds(100));
  Fixture.Picker.connected(failure_domain("b"), microseconds(3'100));
  for (int Call = 0; Call < 200; ++Call)
    Fixture.call(call_verdict::served, milliseconds(400));
  auto Counts = Fixture.spread(8);
  BOOST_TEST(Counts[node_id("r0")] + Counts[node_id("r1")] >= 2u);
}

BOOST_AUTO_TEST_CASE(a_server_that_reports_high_load_is_avoided) {
  picker_fixture Fixture(makeGroup(2));
  call_observation Busy;
  Busy.FreeSlots = -8;
  Fixture.Picker.callStarted(Fixture.Group.Local[0], Fixture.Now);
  Fixture.Picker.callEnded(Desk, Fixture.Group.Local[0], Busy, Fixture.Now);
  for (int Call = 0; Call < 20; ++Call)
    BOOST_TEST(Fixture.pick() == &Fixture.Group.Local[1]);
}

BOOST_AUTO_TEST_CASE(
    an_implausible_free_slot_count_does_not_attract_all_calls) {
  picker_fixture Fixture(makeGroup(2));
  call_observation Implausible;
  Implausible.FreeSlots = 100'000;
  Fixture.Picker.callStarted(Fixture.Group.Local[0], Fixture.Now);
  Fixture.Picker.callEnded(Desk, Fixture.Group.Local[0], Implausible,
                           Fixture.Now);
  auto Counts = Fixture.spread(20);
  BOOST_TEST(Counts[node_id("l1")] >= 8u);
}

BOOST_AUTO_TEST_CASE(a_failing_server_is_ejected_and_tried_with_one_call) {
  picker_fixture Fixture(makeGroup(4));
  const endpoint &Bad = Fixture.Group.Local[2];
  for (int Call = 0; Call < 5; ++Call)
    Fixture.end(Bad, call_verdict::failed);
  for (int Call = 0; Call < 200; ++Call)
    BOOST_TEST(Fixture.call() != &Bad);
  Fixture.Now += seconds(2);
  unsigned Trials = 0;
  for (int Call = 0; Call < 200; ++Call) {
    const endpoint *Chosen = Fixture.pick();
    Fixture.Picker.callStarted(*Chosen, Fixture.Now);
    Trials += Chosen == &Bad ? 1 : 0;
  }
  BOOST_TEST(Trials == 1u);
  call_observation Failed;
  Failed.Verdict = call_verdict::failed;
  Fixture.Picker.callEnded(Desk, Bad, Failed, Fixture.Now);
  Fixture.Now += milliseconds(1'500); // the second ejection lasts longer
  for (int Call = 0; Call < 200; ++Call)
    BOOST_TEST(Fixture.pick() != &Bad);
  Fixture.Now += seconds(1);
  Fixture.end(Bad, call_verdict::served);
  bool Used = false;
  for (int Call = 0; Call < 200; ++Call)
    Used = Used || Fixture.call() == &Bad;
  BOOST_TEST(Used);
}

BOOST_AUTO_TEST_CASE(most_of_a_group_is_never_ejected) {
  picker_fixture Fixture(makeGroup(3));
  for (const endpoint &Endpoint : Fixture.Group.Local)
    for (int Call = 0; Call < 5; ++Call)
      Fixture.end(Endpoint, call_verdict::failed);
  std::set<node_id> Used;
  for (int Call = 0; Call < 100; ++Call)
    Used.insert(Fixture.pick()->Node);
  BOOST_TEST(Used.size() == 3u);
}

BOOST_AUTO_TEST_CASE(a_lone_ejected_server_is_still_used) {
  picker_fixture Fixture(makeGroup(1));
  for (int Call = 0; Call < 5; ++Call)
    Fixture.end(Fixture.Group.Local[0], call_verdict::failed);
  BOOST_TEST(Fixture.pick() == &Fixture.Group.Local[0]);
}

BOOST_AUTO_TEST_CASE(refusals_do_not_eject) {
  picker_fixture Fixture(makeGroup(3));
  for (int Call = 0; Call < 50; ++Call)
    Fixture.end(Fixture.Group.Local[0], call_verdict::refused);
  bool Used = false;
  for (int Call = 0; Call < 50; ++Call)
    Used = Used || Fixture.pick() == &Fixture.Group.Local[0];
  BOOST_TEST(Used);
}

BOOST_AUTO_TEST_CASE(a_cold_server_gets_few_calls_at_first) {
  picker_fixture Fixture(makeGroup(4));
  Fixture.Group.Local[0].ReadySince = Start;
  unsigned First = Fixture.spread(40)[node_id("l0")];
  BOOST_TEST(First >= 1u);
  BOOST_TEST(First <= 4u);
  picker_fixture Later(makeGroup(4));
  Later.Group.Local[0].ReadySince = Start;
  Later.Now = Start + seconds(11);
  BOOST_TEST(Later.spread(40)[node_id("l0")] >= 8u);
}

BOOST_AUTO_TEST_CASE(a_ready_time_in_the_future_does_not_prolong_warm_up) {
  picker_fixture Fixture(makeGroup(2));
  Fixture.Group.Local[0].ReadySince = Start + std::chrono::hours(2);
  Fixture.pick();
  Fixture.pick();
  Fixture.Now = Start + seconds(11);
  BOOST_TEST(Fixture.spread(20)[node_id("l0")] >= 8u);
}

BOOST_AUTO_TEST_CASE(a_slow_server_gets_fewer_calls_until_it_recovers) {
  picker_fixture Fixture(makeGroup(4));
  for (int Call = 0; Call < 50; ++Call)
    for (const endpoint &Endpoint : Fixture.Group.Local)
      Fixture.end(Endpoint, call_verdict::served,
                  milliseconds(&Endpoint == &Fixture.Group.Local[0] ? 100 : 5));
  std::map<node_id, unsigned> Counts = Fixture.spread(40);
  BOOST_TEST(Counts[node_id("l0")] <= 5u);
  picker_fixture Later = Fixture;
  Later.Now += seconds(60);
  for (int Call = 0; Call < 40; ++Call)
    Later.Picker.callEnded(Desk, Later.Group.Local[Call % 4], {}, Later.Now);
  Later.Now += seconds(60);
  BOOST_TEST(Later.spread(80)[node_id("l0")] > Counts[node_id("l0")]);
}

BOOST_AUTO_TEST_CASE(the_state_of_absent_nodes_is_removed) {
  picker_fixture Fixture(makeGroup(3));
  for (const endpoint &Endpoint : Fixture.Group.Local)
    Fixture.end(Endpoint, call_verdict::served);
  fleet_view View;
  View.Endpoints[Desk][version_name("1")].Local = {Fixture.Group.Local[0]};
  Fixture.Picker.removeAbsent(View);
  BOOST_TEST(Fixture.Picker.knownNodes() == 1u);
}

BOOST_AUTO_TEST_CASE(retries_in_an_outage_stop_when_the_budget_is_used_up) {
  retry_budget Budget(10, 10);
  unsigned Attempts = 0;
  for (int Call = 0; Call < 1'000; ++Call)
    Attempts += 1 + (Budget.take() ? 1 : 0);
  BOOST_TEST(Attempts <= 1'100u);
  for (int Call = 0; Call < 50; ++Call)
    Budget.callSucceeded();
  BOOST_TEST(Budget.take());
}

BOOST_AUTO_TEST_CASE(a_share_is_exact_without_keys) {
  version_splitter Splitter;
  version_split Split{version_name("1"), version_name("2"), FullShare / 20};
  unsigned New = 0;
  for (int Call = 0; Call < 1'000; ++Call)
    New += Splitter.choose(Desk, Split, "") == Split.New ? 1 : 0;
  BOOST_TEST((New >= 49 && New <= 51));
}

BOOST_AUTO_TEST_CASE(
    a_key_changes_its_version_at_most_once_as_the_share_grows) {
  version_splitter Splitter;
  unsigned NewAtHalf = 0;
  for (int Key = 0; Key < 400; ++Key) {
    bool WasNew = false;
    for (unsigned Percent : {1U, 5U, 25U, 50U, 100U}) {
      version_split Split{version_name("1"), version_name("2"),
                          FullShare * Percent / 100};
      bool IsNew =
          Splitter.choose(Desk, Split, std::to_string(Key)) == Split.New;
      BOOST_TEST((IsNew || !WasNew));
      WasNew = IsNew;
      NewAtHalf += Percent == 50 && IsNew ? 1 : 0;
    }
    BOOST_TEST(WasNew);
  }
  BOOST_TEST((NewAtHalf > 150 && NewAtHalf < 250));
}

BOOST_AUTO_TEST_CASE(open_calls_to_a_slow_new_version_are_bounded) {
  version_splitter Splitter;
  version_split Split{version_name("1"), version_name("2"), FullShare / 10};
  unsigned OpenNew = 0;
  for (int Call = 0; Call < 2'000; ++Call) {
    // Calls to the old version end at once, except for the first ten; calls to
    // the new version never end.
    bool ToNew = Splitter.choose(Desk, Split, "") == Split.New;
    Splitter.callStarted(Desk, ToNew);
    OpenNew += ToNew ? 1 : 0;
    if (!ToNew && Call > 10)
      Splitter.callEnded(Desk, false);
  }
  BOOST_TEST(OpenNew <= 10u);
  BOOST_TEST(OpenNew >= 2u);
}
