#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

#include "moves/evidence_tracker.h"
#include "moves/local_brake.h"
#include "moves/move_decider.h"
#include "moves/sequential_judge.h"
#include "moves/warm_up.h"
#include "sessions/journal_text.h"
#include "sessions/move_journal.h"

using namespace chivebeam;

namespace {

const instant Start = instant(seconds(1'800'000'000));
const route_name Pay("pay");

move_rule makeRule() {
  return {
      move_id("m"), service_name("kassa"), version_name("1"), version_name("2"),
      Start,        Start + seconds(300)};
}

route_evidence calls(std::uint64_t Count, std::uint64_t Failures,
                     int Millis = 20) {
  route_evidence Made;
  Made.Calls = Count;
  Made.Failures = Failures;
  for (std::uint64_t Index = 0; Index < Count; ++Index)
    Made.Latency.record(milliseconds(Millis));
  return Made;
}

evidence_window window(route_evidence Old, route_evidence New) {
  return {{{Pay, Old}}, {{Pay, New}}};
}

judgement judgeWindow(const evidence_window &Window) {
  move_evidence Evidence;
  Evidence.SinceStep = Window;
  Evidence.Recent = Window;
  return sequential_judge().judge(Evidence).Judgement;
}

/// Everything in order: enough ready workers, fresh reports, known traffic.
move_observation healthy(const evidence_window &Window) {
  move_observation Seen;
  Seen.Evidence.SinceStep = Window;
  Seen.Evidence.Recent = Window;
  Seen.CallsPerMinute = 6'000;
  Seen.MeanDuration = milliseconds(20);
  Seen.TrafficKnown = true;
  Seen.OldWorkers = Seen.NewWorkers = Seen.NewReporters = 5;
  Seen.WantedWorkers = 5;
  Seen.NewSlots = 30;
  return Seen;
}

move_progress stepping(unsigned Share) {
  move_progress Progress;
  Progress.Id = move_id("m");
  Progress.Step = 1;
  Progress.Share = Share;
  Progress.StepSince = Start;
  Progress.To = version_name("2");
  return Progress;
}

move_progress planned() {
  move_progress Progress;
  Progress.Id = move_id("m");
  return Progress;
}

std::optional<move_progress> decide(const move_progress &Before,
                                    const move_observation &Seen, instant Now,
                                    const move_rule &Rule = makeRule()) {
  sequential_judge Judge;
  return move_decider(Judge).decide(planMove(Rule), Before, Seen, Now);
}

move_progress arbitraryProgress() {
  using namespace rc;
  move_progress Progress;
  Progress.Id = move_id("m");
  Progress.Phase = static_cast<move_phase>(*gen::inRange(0, 3));
  Progress.Step = *gen::inRange(0U, 4U);
  Progress.Share = *gen::inRange(0U, 3U) * 5'000;
  Progress.StepSince = Start + seconds(*gen::inRange(0, 3));
  Progress.DecidedAt = Start + seconds(*gen::inRange(0, 3));
  Progress.StepsBack = *gen::inRange(0U, 2U);
  Progress.Reason = *gen::element(std::string("a"), std::string("b"));
  Progress.Recorded = static_cast<move_verdict>(*gen::inRange(0, 3));
  Progress.To = version_name("2");
  return Progress;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_take_back_beats_every_step) {
  move_progress Stepping;
  Stepping.Step = 5;
  move_progress TakenBack;
  TakenBack.Phase = move_phase::taken_back;
  BOOST_TEST((join(Stepping, TakenBack) == TakenBack));
  BOOST_TEST((join(TakenBack, Stepping) == TakenBack));
}

BOOST_AUTO_TEST_CASE(a_recorded_verdict_beats_a_take_back) {
  move_progress Done;
  Done.Recorded = move_verdict::done;
  move_progress TakenBack;
  TakenBack.Phase = move_phase::taken_back;
  BOOST_TEST((join(Done, TakenBack) == Done));
}

BOOST_AUTO_TEST_CASE(join_does_not_depend_on_order_or_repetition) {
  bool Held = rc::check([] {
    std::vector<move_progress> Copies;
    Copies.reserve(5);
    for (int Index = 0; Index < 5; ++Index)
      Copies.push_back(arbitraryProgress());
    move_progress Once = Copies.front();
    for (const move_progress &Copy : Copies)
      Once = join(Once, Copy);
    std::vector<move_progress> Mixed = Copies;
    Mixed.insert(Mixed.end(), Copies.begin(), Copies.end());
    for (std::size_t Index = Mixed.size(); Index > 1; --Index)
      std::swap(Mixed[Index - 1],
                Mixed[*rc::gen::inRange<std::size_t>(0, Index)]);
    move_progress Other = Mixed.front();
    for (const move_progress &Copy : Mixed)
      Other = join(Other, Copy);
    RC_ASSERT(Once == Other);
  });
  BOOST_TEST(Held);
}

BOOST_AUTO_TEST_CASE(no_message_raises_the_share_after_a_take_back) {
  bool Held = rc::check([] {
    move_plan Plan = planMove(makeRule());
    move_progress Known = stepping(5'000);
    Known.Phase = move_phase::taken_back;
    for (int Index = 0; Index < 8; ++Index) {
      move_progress Late = arbitraryProgress();
      Late.Recorded = move_verdict::none;
      Known = join(Known, Late);
      RC_ASSERT(shareOf(Plan, Known) == 0);
    }
  });
  BOOST_TEST(Held);
}

BOOST_AUTO_TEST_CASE(judge_tells_bad_versions_from_good_ones) {
  BOOST_TEST(
      (judgeWindow(window(calls(1'000, 1), calls(100, 0))) == judgement::good));
  BOOST_TEST(
      (judgeWindow(window(calls(1'000, 1), calls(50, 10))) == judgement::bad));
  BOOST_TEST((judgeWindow(window(calls(1'000, 1), calls(60, 0, 100))) ==
              judgement::bad));
}

BOOST_AUTO_TEST_CASE(a_shared_fault_or_an_old_one_is_not_the_new_versions) {
  BOOST_TEST((judgeWindow(window(calls(1'000, 200), calls(100, 20))) ==
              judgement::good));
  BOOST_TEST((judgeWindow(window(calls(1'000, 0, 200), calls(100, 0, 200))) ==
              judgement::good));
  BOOST_TEST((judgeWindow(window(calls(1'000, 500), calls(100, 0))) ==
              judgement::good));
}

// Pattern: every server of a service below refuses half of its calls while a
// bad version is brought in (users' bench, large site).
BOOST_AUTO_TEST_CASE(nothing_is_called_good_beside_an_old_version_that_fails) {
  judge_settings Settings;
  Settings.MaxOldFailures = 0.1;
  sequential_judge Judge(Settings);
  move_evidence Evidence;
  Evidence.SinceStep = Evidence.Recent =
      window(calls(1'000, 450), calls(100, 32));
  BOOST_TEST((Judge.judge(Evidence).Judgement == judgement::undecided));
  Evidence.SinceStep = Evidence.Recent =
      window(calls(1'000, 20), calls(100, 2));
  BOOST_TEST((Judge.judge(Evidence).Judgement == judgement::good));
  Evidence.SinceStep = Evidence.Recent =
      window(calls(1'000, 200), calls(100, 90));
  BOOST_TEST((Judge.judge(Evidence).Judgement == judgement::bad));
}

BOOST_AUTO_TEST_CASE(a_set_time_too_near_is_refused_at_once) {
  move_rule Rule = makeRule();
  Rule.Deadline = Start + seconds(10);
  auto After = decide(planned(), healthy({}), Start, Rule);
  BOOST_REQUIRE(After.has_value());
  BOOST_TEST((After->Phase == move_phase::taken_back));
}

BOOST_AUTO_TEST_CASE(workers_that_never_announce_end_the_move_at_its_time) {
  move_observation Seen = healthy({});
  Seen.NewWorkers = Seen.NewReporters = 2;
  BOOST_TEST(!decide(planned(), Seen, Start + seconds(200)));
  auto After = decide(planned(), Seen, makeRule().Deadline);
  BOOST_REQUIRE(After.has_value());
  BOOST_TEST((After->Phase == move_phase::taken_back));
  BOOST_TEST(After->Reason.find("2 of 5 workers") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(workers_that_vanish_take_the_move_back) {
  move_observation Seen = healthy(window(calls(900, 0), calls(100, 0)));
  Seen.NewWorkers = Seen.NewReporters = 1;
  Seen.ShortSince = Start + seconds(20);
  BOOST_TEST(!decide(stepping(1'000), Seen, Start + seconds(25)));
  auto After = decide(stepping(1'000), Seen, Start + seconds(31));
  BOOST_REQUIRE(After.has_value());
  BOOST_TEST((After->Phase == move_phase::taken_back));
}

BOOST_AUTO_TEST_CASE(the_share_rises_only_on_fresh_reports_and_with_room) {
  move_observation Seen = healthy(window(calls(900, 0), calls(100, 0)));
  instant Due = Start + seconds(100);
  auto After = decide(stepping(1'000), Seen, Due);
  BOOST_REQUIRE(After.has_value());
  BOOST_TEST(After->Share == 2'500U);
  Seen.NewReporters = 2;
  BOOST_TEST(!decide(stepping(1'000), Seen, Due));
  Seen.NewReporters = 5;
  Seen.NewSlots = 1;
  BOOST_TEST(!decide(stepping(1'000), Seen, Due));
}

BOOST_AUTO_TEST_CASE(hardly_any_calls_are_not_enough_for_done) {
  move_observation Seen = healthy(window({}, calls(3, 0)));
  Seen.Evidence.Uncompared = true;
  auto After = decide(stepping(FullShare), Seen, makeRule().Deadline);
  BOOST_REQUIRE(After.has_value());
  BOOST_TEST((After->Phase == move_phase::taken_back));
  BOOST_TEST(After->Reason.find("only 3 calls") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_suspicion_at_full_share_steps_back_to_compare) {
  move_observation Seen = healthy(window({}, calls(200, 60)));
  Seen.Evidence.Earlier = {window(calls(1'000, 1), calls(300, 0))};
  Seen.Evidence.WorstOld = {{Pay, calls(500, 1)}};
  Seen.Evidence.Uncompared = true;
  auto After = decide(stepping(FullShare), Seen, Start + seconds(50));
  BOOST_REQUIRE(After.has_value());
  BOOST_TEST((After->Phase == move_phase::stepping));
  BOOST_TEST(After->Share == 2'500U);
  BOOST_TEST(After->StepsBack == 1U);
}

BOOST_AUTO_TEST_CASE(an_id_belongs_to_one_version) {
  move_rule Rule = makeRule();
  Rule.To = version_name("3");
  move_progress Done = stepping(FullShare);
  Done.Recorded = move_verdict::done;
  BOOST_TEST(shareOf(planMove(Rule), Done) == 0U);
  BOOST_TEST(shareOf(planMove(makeRule()), Done) == FullShare);
}

BOOST_AUTO_TEST_CASE(a_later_set_time_stretches_the_steps_that_are_left) {
  move_rule Later = makeRule();
  Later.Deadline += seconds(600);
  instant Since = Start + seconds(100);
  BOOST_TEST((planMove(Later).durationOf(1'000, Since) >
              planMove(makeRule()).durationOf(1'000, Since)));
}

BOOST_AUTO_TEST_CASE(calls_from_before_the_first_report_do_not_count) {
  evidence_book Book;
  evidence_report Report{node_id("n"),
                         incarnation(1),
                         service_name("kassa"),
                         version_name("1"),
                         1,
                         {{Pay, calls(1'000, 900)}}};
  Book.offer(Report, Start);
  Report.Sequence = 2;
  Report.Routes[Pay].add(calls(10, 1));
  Book.offer(Report, Start);
  Book.offer(Report, Start); // duplicated
  Report.Sequence = 1;       // crossed
  Report.Routes[Pay] = calls(5'000, 5'000);
  Book.offer(Report, Start);
  evidence_window Window =
      Book.since(window_start::step, version_name("1"), version_name("2"));
  BOOST_TEST(Window.Old[Pay].Calls == 10U);
  BOOST_TEST(Window.Old[Pay].Failures == 1U);
}

BOOST_AUTO_TEST_CASE(the_brake_needs_strong_evidence_of_its_own) {
  local_brake Brake;
  Brake.follow(makeRule(), stepping(500));
  service_name Service("kassa");
  for (int Index = 0; Index < 200; ++Index)
    BOOST_TEST(!Brake.record(Service, version_name("1"), false));
  bool Stopped = false;
  int Failures = 0;
  while (!Stopped && Failures < 20) {
    ++Failures;
    Stopped = Brake.record(Service, version_name("2"), true).has_value();
  }
  BOOST_TEST(Stopped);
  BOOST_TEST(Failures >= 3);
}

BOOST_AUTO_TEST_CASE(a_worker_warms_up_for_a_bounded_time) {
  warm_up Worker;
  Worker.callEnded(Start);
  BOOST_TEST(Worker.covers(Start + seconds(11))); // one call only
  BOOST_TEST(!Worker.covers(Start + seconds(30)));
}

BOOST_AUTO_TEST_CASE(a_journal_stays_bounded_and_says_what_it_dropped) {
  journal_text Journal;
  for (int Index = 0; Index < 50; ++Index)
    Journal.add(std::string(40'000, 'x'));
  BOOST_TEST(Journal.text().size() <= journal_text::MaxBytes);
  BOOST_TEST(Journal.dropped() > 0U);
  BOOST_TEST(Journal.text().find("journal_thinned") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(replay_shows_the_step_that_differs_with_its_inputs) {
  move_observation Seen = healthy(window(calls(900, 0), calls(100, 0)));
  Seen.Evidence.Earlier = {window(calls(10, 1), calls(2, 0))};
  move_progress Before = stepping(1'000);
  instant Due = Start + seconds(100);
  move_progress After = *decide(Before, Seen, Due);
  sequential_judge Judge;
  move_decider Decider(Judge);
  std::string Line = writeJournalEntry({Due, makeRule(), Before, Seen, After});
  auto Same = replayJournal(Line + "\n", Decider);
  BOOST_REQUIRE(Same.has_value());
  BOOST_TEST(Same->Steps == 1U);
  BOOST_TEST(Same->Differences.empty());
  After.Share = 9'999;
  Line = writeJournalEntry({Due, makeRule(), Before, Seen, After});
  auto Differs = replayJournal(Line + "\n", Decider);
  BOOST_REQUIRE(Differs.has_value());
  BOOST_REQUIRE(Differs->Differences.size() == 1U);
  BOOST_TEST(Differs->Differences[0].Inputs.find("since_step") !=
             std::string::npos);
  BOOST_TEST(readTimeline(Line).size() == 1U);
}
