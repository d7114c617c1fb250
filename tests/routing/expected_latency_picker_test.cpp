// Tests the choice of a backend server by its expected latency.
#include <boost/test/unit_test.hpp>

#include "routing/expected_latency_picker.h"
#include "routing/mesh_view.h"

using namespace chivebeam;

namespace {

const instant Start = instant(seconds(1'000));
const service_name Desk("desk");
const route_name Route("read");

endpoint at(std::string Node, std::string Domain) {
  endpoint Endpoint;
  Endpoint.Node = node_id(Node);
  Endpoint.Domain = failure_domain(std::move(Domain));
  Endpoint.Worker = worker_id("w-" + Node);
  Endpoint.Slots = 6;
  return Endpoint;
}

/// One server in the local failure domain and one in another.
struct two_server_fixture {
  two_server_fixture() {
    Group.Local = {at("near", "a")};
    Group.Remote = {at("far", "b")};
    Needs.Route = Route;
    Needs.GoalLeft = milliseconds(200);
    Needs.TimeLeft = milliseconds(800);
  }

  std::string pick() {
    const endpoint *Endpoint = Picker.pickFor(Group, {}, Needs, Start);
    return Endpoint ? Endpoint->Node.str() : "";
  }
  void report(const endpoint &Endpoint, unsigned Running, unsigned Waiting,
              call_verdict Verdict = call_verdict::served) {
    call_observation Observation;
    Observation.Verdict = Verdict;
    Observation.Load =
        home_load{Running, Waiting, 6, milliseconds(60), 0, {}, {}};
    Picker.recordDuration(Route, Endpoint, milliseconds(60));
    Picker.callEnded(Desk, Endpoint, Observation, Start);
  }

  expected_latency_picker Picker{failure_domain("a"), 1};
  endpoint_group Group;
  call_needs Needs;
};

home_record home(std::string Node, std::string Version) {
  home_record Record;
  Record.Node = node_id(Node);
  Record.Domain = failure_domain("a");
  Record.Start = {worker_id("w-" + Node), 1};
  Record.Worker = {Desk, version_name(std::move(Version)), 6,
                   worker_state::ready, instant()};
  return Record;
}

std::size_t countOf(const fleet_view &View, std::string Version) {
  const endpoint_group *Group =
      findGroup(View, Desk, version_name(std::move(Version)));
  return Group ? Group->Local.size() + Group->Remote.size() : 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_call_stays_in_its_domain_while_it_can_meet_its_goal) {
  two_server_fixture Servers;
  Servers.report(Servers.Group.Local[0], 6, 2);
  Servers.report(Servers.Group.Remote[0], 0, 0);
  BOOST_TEST(Servers.pick() == "near");
}

BOOST_AUTO_TEST_CASE(a_call_leaves_its_domain_if_it_would_miss_its_goal) {
  two_server_fixture Servers;
  Servers.report(Servers.Group.Local[0], 6, 20);
  Servers.report(Servers.Group.Remote[0], 1, 0);
  BOOST_TEST(Servers.pick() == "far");
}

BOOST_AUTO_TEST_CASE(a_large_body_stays_in_its_domain_even_past_its_goal) {
  two_server_fixture Servers;
  Servers.Needs.GoalLeft = milliseconds(110);
  Servers.report(Servers.Group.Local[0], 6, 2);
  Servers.report(Servers.Group.Remote[0], 1, 0);
  BOOST_TEST(Servers.pick() == "far");
  Servers.Needs.Bytes = 60'000;
  BOOST_TEST(Servers.pick() == "near");
}

BOOST_AUTO_TEST_CASE(a_home_node_without_capacity_is_not_asked_for_a_while) {
  two_server_fixture Servers;
  Servers.report(Servers.Group.Local[0], 6, 30);
  Servers.report(Servers.Group.Remote[0], 6, 30);
  BOOST_TEST(Servers.pick() == "");
  const endpoint *Later = Servers.Picker.pickFor(
      Servers.Group, {}, Servers.Needs, Start + milliseconds(150));
  BOOST_TEST(Later != nullptr);
  Servers.Needs.Nested = true;
  BOOST_TEST(Servers.pick() != "");
}

BOOST_AUTO_TEST_CASE(a_failing_server_is_avoided_unless_all_servers_fail) {
  two_server_fixture Servers;
  for (int Call = 0; Call < 20; ++Call)
    Servers.report(Servers.Group.Local[0], 1, 0, call_verdict::failed);
  Servers.report(Servers.Group.Remote[0], 1, 0);
  BOOST_TEST(Servers.pick() == "far");
  for (int Call = 0; Call < 20; ++Call)
    Servers.report(Servers.Group.Remote[0], 1, 0, call_verdict::failed);
  BOOST_TEST(Servers.pick() != "");
}

BOOST_AUTO_TEST_CASE(a_node_that_cannot_be_reached_is_not_picked_for_a_while) {
  two_server_fixture Servers;
  call_observation Observation;
  Observation.Verdict = call_verdict::unreachable;
  Servers.Picker.callEnded(Desk, Servers.Group.Local[0], Observation, Start);
  BOOST_TEST(Servers.pick() == "far");
  const endpoint *Later = Servers.Picker.pickFor(
      Servers.Group, {}, Servers.Needs, Start + seconds(2));
  BOOST_TEST(Later->Node.str() == "near");
}

BOOST_AUTO_TEST_CASE(calls_spread_over_the_servers_of_a_failure_domain) {
  two_server_fixture Servers;
  Servers.Group.Local.push_back(at("near-2", "a"));
  std::map<std::string, int> Counts;
  for (int Call = 0; Call < 10; ++Call) {
    const endpoint *Endpoint =
        Servers.Picker.pickFor(Servers.Group, {}, Servers.Needs, Start);
    ++Counts[Endpoint->Node.str()];
    Servers.Picker.callStarted(*Endpoint, Start);
  }
  BOOST_TEST(Counts["near"] == 5);
  BOOST_TEST(Counts["near-2"] == 5);
}

BOOST_AUTO_TEST_CASE(a_new_version_gets_calls_only_through_its_move) {
  std::vector<home_record> Homes{home("n1", "1"), home("n2", "1"),
                                 home("n3", "2")};
  service_moves Moves;
  service_move &Move = Moves[Desk];
  Move.Rule.Service = Desk;
  Move.Rule.From = version_name("1");
  Move.Rule.To = version_name("2");
  auto View = [&] {
    return makeMeshView(nullptr, Homes, Moves, failure_domain("a"));
  };
  BOOST_TEST(countOf(*View(), "1") == 2u);
  BOOST_TEST(countOf(*View(), "2") == 1u);
  BOOST_TEST(View()->Splits.at(Desk).NewShare == 0u);
  Move.Progress.Share = 500;
  BOOST_TEST(View()->Splits.at(Desk).NewShare == 500u);
  Move.Progress.Phase = move_phase::taken_back;
  BOOST_TEST(View()->Splits.at(Desk).NewShare == 0u);
  Move.Progress.Recorded = move_verdict::taken_back;
  BOOST_TEST(countOf(*View(), "2") == 0u);
  Move.Progress.Recorded = move_verdict::done;
  BOOST_TEST(countOf(*View(), "1") == 0u);
  BOOST_TEST(View()->Splits.at(Desk).NewShare == FullShare);
}

// Guards against repeated requests to a home node without capacity. A node that
// refused a call is not picked before its retry time, except for a more urgent
// call or one of the other class of body size.
BOOST_AUTO_TEST_CASE(
    a_home_node_that_refused_is_not_asked_before_its_retry_time) {
  two_server_fixture Servers;
  Servers.Needs.Urgency = 2;
  call_observation Observation;
  Observation.Verdict = call_verdict::refused;
  Observation.Load = home_load{6, 0, 6, milliseconds(60), 0, {}, {}, 0};
  Observation.RetryAfter = milliseconds(200);
  Observation.Urgency = 2;
  Servers.Picker.callEnded(Desk, Servers.Group.Local[0], Observation, Start);
  BOOST_TEST(Servers.pick() == "far");
  Servers.Picker.callEnded(Desk, Servers.Group.Remote[0], Observation, Start);
  BOOST_TEST(Servers.pick() == "");
  BOOST_TEST(
      Servers.Picker
          .retryAfterOf(Servers.Group, Servers.Needs, Start + milliseconds(50))
          .count() == 150'000);
  Servers.Needs.Urgency = 1;
  BOOST_TEST(Servers.pick() != "");
  Servers.Needs.Urgency = 2;
  Servers.Needs.Bytes = 60'000;
  BOOST_TEST(Servers.pick() != "");
  Servers.Needs.Bytes = 0;
  BOOST_TEST(Servers.Picker.pickFor(Servers.Group, {}, Servers.Needs,
                                    Start + milliseconds(210)) != nullptr);
}
