// Usage caps of a whole fleet in virtual time, under the loads and failures in
// which calls beyond the cap would be admitted or calls within it refused.
#include <boost/test/unit_test.hpp>

#include <cmath>

#include "usage_fleet.h"

using namespace chivebeam;

namespace {

constexpr seconds Window{5};
constexpr double Overage = 0.1;
constexpr double Slack = 20;
constexpr unsigned Workspaces = 84;
constexpr double UsualPerSecond = 1'830;
constexpr double Skew = 1.2;
constexpr double CapFactor = 1.6;
constexpr double BurstSeconds = 0.5;

workspace_name nameOf(unsigned Number) {
  return workspace_name("workspace-" + std::to_string(Number));
}

/// Usual calls a second of a workspace; number 0 is the largest.
double usualRate(unsigned Number) {
  double Sum = 0;
  for (unsigned Other = 1; Other <= Workspaces; ++Other)
    Sum += std::pow(Other, -Skew);
  return UsualPerSecond * std::pow(Number + 1, -Skew) / Sum;
}

usage_caps usualCaps(double Factor = CapFactor) {
  usage_caps Caps;
  for (unsigned Number = 0; Number < Workspaces; ++Number) {
    double Rate = usualRate(Number) * Factor;
    Caps[nameOf(Number)] = {Rate, Rate * BurstSeconds};
  }
  return Caps;
}

/// A fleet whose caps are in force, with the usual demand from now on.
std::unique_ptr<usage_fleet> usualFleet(unsigned Nodes, unsigned Domains) {
  auto Kept = std::make_unique<usage_fleet>(Nodes, Domains, 7);
  usage_fleet &Fleet = *Kept;
  Fleet.setCaps(usualCaps());
  Fleet.run(seconds(3));
  for (unsigned Number = 0; Number < Workspaces; ++Number)
    Fleet.setDemand(nameOf(Number), usualRate(Number));
  return Kept;
}

/// Checks the cap in each window that begins with a call of the workspace.
void checkCap(const usage_fleet &Fleet, const workspace_name &Name,
              const usage_cap &Cap, instant From = instant()) {
  std::vector<usage_call> Calls;
  for (const usage_call &Call : Fleet.calls())
    if (Call.Workspace == Name && Call.Admitted && Call.SentAt >= From)
      Calls.push_back(Call);
  double Bound =
      (Cap.RatePerSecond * Window.count() + Cap.Burst) * (1 + Overage) + Slack;
  double Most = 0;
  for (std::size_t First = 0; First < Calls.size(); ++First) {
    instant End = Calls[First].SentAt + Window;
    unsigned Count = 0;
    for (std::size_t Index = First;
         Index < Calls.size() && Calls[Index].SentAt <= End; ++Index)
      Count += Calls[Index].DecidedAt <= End ? 1 : 0;
    Most = std::max<double>(Most, Count);
  }
  BOOST_TEST(Most <= Bound, Name << ": " << Most << " of " << Bound);
}

void checkCaps(const usage_fleet &Fleet, const usage_caps &Caps,
               instant From = instant()) {
  for (const auto &[Name, Cap] : Caps)
    checkCap(Fleet, Name, Cap, From);
}

/// Share of the calls since From that were refused, without one workspace.
double refusedShare(const usage_fleet &Fleet, const workspace_name &Without,
                    instant From) {
  double All = 0;
  double Refused = 0;
  for (const usage_call &Call : Fleet.calls()) {
    bool Counts = Call.Workspace != Without && Call.SentAt >= From &&
                  Call.DecidedAt != instant();
    All += Counts ? 1 : 0;
    Refused += Counts && !Call.Admitted ? 1 : 0;
  }
  return Refused / std::max(All, 1.0);
}

double admittedPerSecond(const usage_fleet &Fleet, const workspace_name &Name,
                         instant From) {
  double Count = 0;
  for (const usage_call &Call : Fleet.calls())
    Count += Call.Workspace == Name && Call.Admitted && Call.SentAt >= From;
  return Count / (static_cast<double>((Fleet.now() - From).count()) / 1e6);
}

void checkHotWorkspace(unsigned Nodes, unsigned Domains, unsigned Hot,
                       double Factor) {
  std::unique_ptr<usage_fleet> Kept = usualFleet(Nodes, Domains);
  usage_fleet &Fleet = *Kept;
  Fleet.run(seconds(4));
  instant From = Fleet.now();
  Fleet.setDemand(nameOf(Hot), usualRate(Hot) * Factor);
  Fleet.run(seconds(10));
  checkCaps(Fleet, usualCaps());
  BOOST_TEST(refusedShare(Fleet, nameOf(Hot), From) < 0.01);
  BOOST_TEST(admittedPerSecond(Fleet, nameOf(Hot), From) >=
             0.9 * usualRate(Hot) * CapFactor);
}

} // namespace

// Failure: the nodes together admit more of a hot workspace than its cap, less
// than it, or refuse others for it.
BOOST_AUTO_TEST_CASE(a_hot_workspace_gets_its_cap_and_no_more) {
  checkHotWorkspace(84, 3, 0, 7.5);
  checkHotWorkspace(84, 3, 30, 7.5);
}

BOOST_AUTO_TEST_CASE(a_hot_workspace_gets_its_cap_in_a_large_fleet) {
  checkHotWorkspace(541, 6, 1, 7.5);
}

// Failure: the first calls of a workspace on a node are refused because no
// token is there yet, or each call costs messages.
BOOST_AUTO_TEST_CASE(usual_calls_are_admitted_with_less_than_a_request_each) {
  std::unique_ptr<usage_fleet> Kept = usualFleet(84, 3);
  usage_fleet &Fleet = *Kept;
  instant From = Fleet.now();
  Fleet.run(seconds(10));
  checkCaps(Fleet, usualCaps());
  BOOST_TEST(refusedShare(Fleet, workspace_name(), From) < 0.005);
  BOOST_TEST(Fleet.messages() < 2 * Fleet.calls().size());
}

// Failure: nodes that reach no owner admit calls beside those of the others.
BOOST_AUTO_TEST_CASE(a_cut_of_a_third_keeps_the_caps) {
  std::unique_ptr<usage_fleet> Kept = usualFleet(84, 3);
  usage_fleet &Fleet = *Kept;
  Fleet.setDemand(nameOf(0), usualRate(0) * 7.5);
  Fleet.run(seconds(6));
  for (unsigned Node = 0; Node < 84; Node += 3)
    Fleet.cut(Node + Node / 3 % 3);
  Fleet.run(seconds(6));
  for (unsigned Node = 0; Node < 6; ++Node)
    if (Node % 3 == Node / 3 % 3)
      Fleet.replaceWatcher(Node);
  Fleet.run(seconds(6));
  Fleet.heal();
  Fleet.run(seconds(6));
  checkCaps(Fleet, usualCaps());
}

// Failure: a new owner grants again what the killed one had granted, or calls
// within the cap are refused until there is a new one.
BOOST_AUTO_TEST_CASE(the_kill_of_owners_keeps_caps_and_calls) {
  std::unique_ptr<usage_fleet> Kept = usualFleet(84, 3);
  usage_fleet &Fleet = *Kept;
  Fleet.run(seconds(4));
  instant From = Fleet.now();
  Fleet.setDemand(nameOf(1), usualRate(1) * 7.5);
  Fleet.run(seconds(4));
  Fleet.kill(Fleet.ownerOf(nameOf(1), 0), seconds(3));
  Fleet.run(seconds(8));
  checkCaps(Fleet, usualCaps());
  BOOST_TEST(refusedShare(Fleet, nameOf(1), From) < 0.01);
}

// Failure: the burst is granted anew after a restart of all nodes.
BOOST_AUTO_TEST_CASE(a_restart_of_all_nodes_keeps_the_caps) {
  std::unique_ptr<usage_fleet> Kept = usualFleet(84, 3);
  usage_fleet &Fleet = *Kept;
  Fleet.setDemand(nameOf(0), usualRate(0) * 7.5);
  Fleet.setDemand(nameOf(40), usualRate(40) * 7.5);
  Fleet.run(seconds(6));
  Fleet.restartAll();
  Fleet.run(seconds(8));
  checkCaps(Fleet, usualCaps());
}

// Failure: tokens that were granted under the old cap go on for longer than a
// window.
BOOST_AUTO_TEST_CASE(a_lower_cap_binds_at_once) {
  std::unique_ptr<usage_fleet> Kept = usualFleet(84, 3);
  usage_fleet &Fleet = *Kept;
  Fleet.setDemand(nameOf(0), usualRate(0) * 7.5);
  Fleet.run(seconds(6));
  Fleet.setCaps(usualCaps(0.4));
  instant From = Fleet.now() + seconds(1);
  Fleet.run(seconds(8));
  checkCaps(Fleet, usualCaps(0.4), From);
}
