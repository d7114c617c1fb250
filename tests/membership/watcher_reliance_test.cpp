// Tests when a node reads the operator's documents itself instead of relying on
// watchers.
#include <boost/test/unit_test.hpp>

#include "membership/watcher_reliance.h"

using namespace chivebeam;

namespace {

constexpr instant Start = instant(seconds(1'000));
constexpr milliseconds Tick{100};
/// Time in which a stored configuration has to be in force, less the time of a
/// read.
constexpr milliseconds ReadWithin{1'700};

/// Lets a watcher read the store each second until Until.
void hearWatcher(watcher_reliance &Reliance, instant From, instant Until) {
  for (instant Now = From; Now < Until; Now += Tick) {
    instant LastRead =
        Now -
        (Now - Start) % std::chrono::duration_cast<microseconds>(seconds(1));
    BOOST_TEST(!Reliance.readsStore(LastRead, Now));
  }
}

} // namespace

// Guards against an outdated configuration on a node whose watchers have all
// fallen silent or lost the store.
BOOST_AUTO_TEST_CASE(a_node_without_a_current_watcher_reads_the_store_in_time) {
  for (std::uint64_t Seed = 1; Seed < 50; ++Seed) {
    watcher_reliance Reliance(true, Seed);
    instant Lost = Start + seconds(10);
    hearWatcher(Reliance, Start, Lost);
    instant LastRead = Lost - seconds(1);
    instant Now = Lost;
    while (!Reliance.readsStore(LastRead, Now) && Now < Lost + seconds(10))
      Now += Tick;
    BOOST_TEST((Now <= LastRead + ReadWithin));
  }
}

BOOST_AUTO_TEST_CASE(a_node_with_a_current_watcher_does_not_read_the_store) {
  watcher_reliance Reliance(true, 1);
  hearWatcher(Reliance, Start, Start + seconds(60));
}

BOOST_AUTO_TEST_CASE(a_node_reads_until_watchers_have_been_current_for_long) {
  watcher_reliance Reliance(false, 1);
  BOOST_TEST(Reliance.readsStore(instant(), Start));
  instant Back = Start + seconds(5);
  BOOST_TEST(Reliance.readsStore(Back, Back));
  // One answer of a watcher is not enough.
  BOOST_TEST(Reliance.readsStore(Back, Back + milliseconds(1'600)));
  Back += seconds(3);
  BOOST_TEST(Reliance.readsStore(Back, Back));
  instant Settled = Back + watcher_reliance::MinCurrentTime;
  BOOST_TEST(!Reliance.readsStore(Settled, Settled));
}

BOOST_AUTO_TEST_CASE(the_first_start_leaves_time_to_elect_watchers) {
  watcher_reliance Reliance(true, 1);
  BOOST_TEST(!Reliance.readsStore(instant(), Start));
  BOOST_TEST(!Reliance.readsStore(instant(), Start + milliseconds(1'400)));
  BOOST_TEST(Reliance.readsStore(instant(), Start + milliseconds(3'000)));
}
