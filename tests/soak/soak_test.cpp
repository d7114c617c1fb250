// Soaks of real processes under series of signals, restarts, changes and faults
// that overlap. Each is chosen by its seed.
//
// The environment chooses a long run by hand: CHIVEBEAM_SOAK_SEEDS (first and
// last, "1-50"), CHIVEBEAM_SOAK_NODES and CHIVEBEAM_SOAK_SECONDS.
#include <cstdlib>
#include <filesystem>

#include <boost/test/unit_test.hpp>

#include "soak_fleet.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

/// Seeds of CI. Odd ones have planned work only.
constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t LastSeed = 4;

std::uint64_t numberOr(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

soak_plan planOf(std::uint64_t Seed) {
  soak_plan Plan;
  Plan.Seed = Seed;
  Plan.OnlyPlanned = Seed % 2 == 1;
  Plan.EventsAtOnce = 1 + static_cast<unsigned>(Seed / 2 % 3);
  Plan.Nodes =
      static_cast<unsigned>(numberOr("CHIVEBEAM_SOAK_NODES", Plan.Nodes));
  Plan.Time = seconds(numberOr("CHIVEBEAM_SOAK_SECONDS",
                               static_cast<std::uint64_t>(Plan.Time.count())));
  return Plan;
}

/// Returns a fleet that is never destroyed.
soak_fleet &addFleet(const soak_plan &Plan) {
  static auto *Fleets = new std::vector<std::unique_ptr<soak_fleet>>;
  Fleets->push_back(std::make_unique<soak_fleet>(Plan));
  return *Fleets->back();
}

} // namespace

BOOST_AUTO_TEST_SUITE(soak)

BOOST_AUTO_TEST_CASE(no_promise_to_callers_is_broken) {
  std::uint64_t First = FirstSeed;
  std::uint64_t Last = LastSeed;
  if (const char *Seeds = std::getenv("CHIVEBEAM_SOAK_SEEDS")) {
    char *End = nullptr;
    First = Last = std::strtoull(Seeds, &End, 10);
    if (*End == '-')
      Last = std::strtoull(End + 1, nullptr, 10);
  }
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
    soak_fleet &Fleet = addFleet(planOf(Seed));
    Fleet.run();
    std::vector<std::string> Problems = Fleet.record().judge();
    std::string Text =
        "seed " + std::to_string(Seed) + ": " + Fleet.record().summary();
    if (Problems.empty())
      std::filesystem::remove_all(Fleet.folder());
    else
      Text += "; logs in " + Fleet.folder();
    for (const std::string &Problem : Problems)
      Text += "\n  " + Problem;
    BOOST_TEST_MESSAGE(Text);
    BOOST_TEST(Problems.empty(), Text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
