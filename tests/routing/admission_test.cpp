#include <boost/test/unit_test.hpp>

#include <set>

#include "base/random.h"
#include "routing/admission.h"

using namespace chivebeam;

namespace {

const instant Start{std::chrono::hours(1'000)};
const microseconds LongTime = seconds(60);

/// Runs calls of a given service time through an admission, in virtual time.
class admission_fixture {
public:
  explicit admission_fixture(unsigned Slots) : Admission(Slots) {}

  admission_decision arrive(std::uint64_t Call, std::string Workspace = "",
                            work_class Class = work_class::status,
                            microseconds Left = LongTime) {
    admission_update Update;
    admission_decision Decision =
        Admission.arrive({call_number(Call), Class,
                          workspace_name(std::move(Workspace)), Now + Left},
                         Now, Update);
    apply(Update);
    return Decision;
  }
  void release(microseconds Duration = milliseconds(10),
               bool Overloaded = false) {
    apply(Admission.release(Duration, Overloaded, Now));
  }
  void apply(const admission_update &Update) {
    for (call_number Call : Update.Started)
      Started.push_back(Call.value());
    for (call_number Call : Update.Refused)
      Refused.push_back(Call.value());
  }

  admission Admission;
  instant Now = Start;
  std::vector<std::uint64_t> Started;
  std::vector<std::uint64_t> Refused;
};

} // namespace

BOOST_AUTO_TEST_CASE(slots_are_kept_exactly_and_the_queue_is_bounded) {
  admission_fixture Home(2);
  unsigned Run = 0;
  unsigned Wait = 0;
  for (std::uint64_t Call = 1; Call <= 20; ++Call) {
    admission_decision Decision = Home.arrive(Call);
    Run += Decision == admission_decision::run ? 1 : 0;
    Wait += Decision == admission_decision::wait ? 1 : 0;
  }
  BOOST_TEST(Run == 2u);
  BOOST_TEST(Wait == 8u);
  Home.release();
  BOOST_TEST(Home.Started == std::vector<std::uint64_t>{3},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(payments_start_before_status_but_status_does_not_starve) {
  admission_fixture Home(1);
  Home.arrive(1);
  Home.arrive(2, "", work_class::status);
  Home.arrive(3, "", work_class::payment);
  Home.release();
  BOOST_TEST(Home.Started.front() == 3u);
  for (std::uint64_t Call = 4; Call < 24; ++Call) {
    Home.arrive(Call, "", work_class::payment);
    Home.release();
  }
  BOOST_TEST(std::count(Home.Started.begin(), Home.Started.end(), 2u) == 1);
}

BOOST_AUTO_TEST_CASE(a_payment_evicts_the_newest_status_call_of_a_full_queue) {
  admission_fixture Home(1);
  for (std::uint64_t Call = 1; Call <= 5; ++Call)
    Home.arrive(Call);
  BOOST_TEST((Home.arrive(6) == admission_decision::refuse));
  BOOST_TEST(
      (Home.arrive(7, "", work_class::payment) == admission_decision::wait));
  BOOST_TEST(Home.Refused == std::vector<std::uint64_t>{5},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(
    workspaces_take_turns_and_a_full_queue_evicts_the_largest) {
  admission_fixture Home(1);
  for (std::uint64_t Call = 1; Call <= 5; ++Call)
    Home.arrive(Call, "greedy");
  BOOST_TEST((Home.arrive(10, "modest") == admission_decision::wait));
  BOOST_TEST((Home.arrive(11, "greedy") == admission_decision::refuse));
  Home.release();
  Home.release();
  std::set<std::uint64_t> First(Home.Started.begin(), Home.Started.end());
  BOOST_TEST(First.contains(10));
}

BOOST_AUTO_TEST_CASE(a_call_that_could_not_end_in_time_is_refused_at_once) {
  admission_fixture Home(1);
  Home.arrive(1);
  Home.release(milliseconds(100));
  Home.arrive(2);
  BOOST_TEST((Home.arrive(3, "", work_class::status, milliseconds(50)) ==
              admission_decision::refuse));
  BOOST_TEST((Home.arrive(4, "", work_class::status, milliseconds(500)) ==
              admission_decision::wait));
}

BOOST_AUTO_TEST_CASE(a_waiting_call_without_time_left_is_refused_not_started) {
  admission_fixture Home(1);
  Home.arrive(1);
  Home.arrive(2, "", work_class::status, milliseconds(50));
  Home.Now += milliseconds(60);
  Home.release();
  BOOST_TEST(Home.Started.empty());
  BOOST_TEST(Home.Refused == std::vector<std::uint64_t>{2},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(with_no_slots_left_every_waiting_call_is_refused) {
  admission_fixture Home(1);
  for (std::uint64_t Call = 1; Call <= 4; ++Call)
    Home.arrive(Call);
  Home.apply(Home.Admission.setSlots(0, Home.Now));
  BOOST_TEST(Home.Refused.size() == 3u);
  Home.release();
  BOOST_TEST(Home.Started.empty());
}

BOOST_AUTO_TEST_CASE(an_abandoned_call_never_starts) {
  admission_fixture Home(1);
  Home.arrive(1);
  Home.arrive(2, "x");
  Home.arrive(3, "x");
  Home.Admission.abandon(call_number(2));
  Home.release();
  BOOST_TEST(Home.Started == std::vector<std::uint64_t>{3},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_limit_approaches_the_real_slots_of_a_server) {
  // Announces 20 slots but runs only 5 calls at a time; more calls queue inside
  // the server.
  admission_fixture Home(20);
  constexpr unsigned RealSlots = 5;
  microseconds UncontendedTime = milliseconds(10);
  std::uint64_t Call = 0;
  for (int Warm = 0; Warm < 64; ++Warm) {
    Home.arrive(++Call);
    Home.Now += UncontendedTime;
    Home.release(UncontendedTime);
  }
  for (int Round = 0; Round < 20'000; ++Round) {
    while (Home.arrive(++Call) != admission_decision::refuse) {
    }
    unsigned Running = Home.Admission.running();
    unsigned Busy = std::min(Running, RealSlots);
    Home.Now += UncontendedTime / Busy;
    Home.release(UncontendedTime * Running / Busy);
  }
  BOOST_TEST(Home.Admission.limit() >= RealSlots - 1);
  BOOST_TEST(Home.Admission.limit() <= 2 * RealSlots);
}

BOOST_AUTO_TEST_CASE(a_slowdown_without_overload_keeps_the_limit) {
  admission_fixture Home(20);
  std::uint64_t Call = 0;
  for (int Round = 0; Round < 5'000; ++Round) {
    while (Home.arrive(++Call) != admission_decision::refuse) {
    }
    microseconds ServiceTime = milliseconds(Round < 500 ? 10 : 30);
    Home.Now +=
        ServiceTime / static_cast<std::int64_t>(Home.Admission.running());
    Home.release(ServiceTime);
  }
  BOOST_TEST(Home.Admission.limit() >= 16u);
}

BOOST_AUTO_TEST_CASE(refusals_by_an_overloaded_server_lower_the_limit) {
  admission_fixture Home(20);
  std::uint64_t Call = 0;
  for (int Round = 0; Round < 2'000; ++Round) {
    while (Home.arrive(++Call) != admission_decision::refuse) {
    }
    Home.Now += milliseconds(1);
    Home.release(milliseconds(5), Home.Admission.running() > 8);
  }
  BOOST_TEST(Home.Admission.limit() <= 12u);
  BOOST_TEST(Home.Admission.limit() >= 6u);
}

BOOST_AUTO_TEST_CASE(any_sequence_keeps_the_slots_and_loses_no_call) {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    random_source Random(Seed);
    admission_fixture Home(1 + static_cast<unsigned>(Random.below(6)));
    std::set<std::uint64_t> Waiting;
    unsigned Running = 0;
    for (std::uint64_t Call = 1; Call <= 2'000; ++Call) {
      Home.Now += milliseconds(static_cast<std::int64_t>(Random.below(5)));
      std::uint64_t Kind = Random.below(10);
      if (Kind < 5) {
        auto Class = static_cast<work_class>(Random.below(WorkClassCount));
        admission_decision Decision = Home.arrive(
            Call, std::to_string(Random.below(3)), Class,
            milliseconds(1 + static_cast<std::int64_t>(Random.below(200))));
        Running += Decision == admission_decision::run ? 1 : 0;
        if (Decision == admission_decision::wait)
          Waiting.insert(Call);
      } else if (Kind < 8 && Running > 0) {
        --Running;
        Home.release(milliseconds(static_cast<std::int64_t>(Random.below(20))));
      } else if (Kind == 8 && !Waiting.empty()) {
        Home.Admission.abandon(call_number(*Waiting.begin()));
        Waiting.erase(Waiting.begin());
      } else if (Kind == 9 && Random.below(20) == 0) {
        Home.apply(Home.Admission.setSlots(
            static_cast<unsigned>(Random.below(7)), Home.Now));
      }
      for (std::uint64_t Started : Home.Started)
        BOOST_TEST(Waiting.erase(Started) == 1u);
      for (std::uint64_t Refused : Home.Refused)
        BOOST_TEST(Waiting.erase(Refused) == 1u);
      Running += static_cast<unsigned>(Home.Started.size());
      Home.Started.clear();
      Home.Refused.clear();
      BOOST_TEST(Home.Admission.running() == Running);
      BOOST_TEST(Home.Admission.queued() == Waiting.size());
    }
  }
}
