#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

#include "moves/evidence_tracker.h"
#include "moves/local_circuit_breaker.h"
#include "moves/move_decider.h"
#include "moves/sequential_evaluator.h"
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

evaluation_outcome evaluateWindow(const evidence_window &Window) {
  move_evidence Evidence;
  Evidence.SinceStep = Window;
  Evidence.Recent = Window;
  return sequential_evaluator().evaluate(Evidence).Outcome;
}

/// An observation that permits the next step: enough ready workers, fresh
/// reports and a known call rate.
move_observation healthy(const evidence_window &Window) {
  move_observation Observation;
  Observation.Evidence.SinceStep = Window;
  Observation.Evidence.Recent = Window;
  Observation.CallsPerMinute = 6'000;
  Observation.MeanDuration = milliseconds(20);
  Observation.TrafficKnown = true;
  Observation.OldWorkers = Observation.NewWorkers = Observation.NewReporters =
      5;
  Observation.WantedWorkers = 5;
  Observation.NewSlots = 30;
  return Observation;
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
                                    const move_observation &Observation,
                                    instant Now,
                                    const move_rule &Rule = makeRule()) {
  sequential_evaluator Evaluator;
  return move_decider(Evaluator).decide(planMove(Rule), Before, Observation,
                                        Now);
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

BOOST_AUTO_TEST_CASE(join_prefers_a_take_back_to_every_step) {
  move_progress Stepping;
  Stepping.Step = 5;
  move_progress TakenBack;
  TakenBack.Phase = move_phase::taken_back;
  BOOST_TEST((join(Stepping, TakenBack) == TakenBack));
  BOOST_TEST((join(TakenBack, Stepping) == TakenBack));
}

BOOST_AUTO_TEST_CASE(join_prefers_a_recorded_verdict_to_a_take_back) {
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

BOOST_AUTO_TEST_CASE(evaluator_tells_bad_versions_from_good_ones) {
  BOOST_TEST((evaluateWindow(window(calls(1'000, 1), calls(100, 0))) ==
              evaluation_outcome::good));
  BOOST_TEST((evaluateWindow(window(calls(1'000, 1), calls(50, 10))) ==
              evaluation_outcome::bad));
  BOOST_TEST((evaluateWindow(window(calls(1'000, 1), calls(60, 0, 100))) ==
              evaluation_outcome::bad));
}

BOOST_AUTO_TEST_CASE(a_version_no_worse_than_the_old_one_is_rated_good) {
  BOOST_TEST((evaluateWindow(window(calls(1'000, 200), calls(100, 20))) ==
              evaluation_outcome::good));
  BOOST_TEST(
      (evaluateWindow(window(calls(1'000, 0, 200), calls(100, 0, 200))) ==
       evaluation_outcome::good));
  BOOST_TEST((evaluateWindow(window(calls(1'000, 500), calls(100, 0))) ==
              evaluation_outcome::good));
}

// Guards against raising the share of a bad version while the old version fails
// as well. In the users' benchmark of a large site, every server of a
// downstream service refused half of its calls during the rollout of a bad
// version.
BOOST_AUTO_TEST_CASE(no_version_is_rated_good_while_the_old_version_fails) {
  evaluator_settings Settings;
  Settings.MaxOldFailureRate = 0.1;
  sequential_evaluator Evaluator(Settings);
  move_evidence Evidence;
  Evidence.SinceStep = Evidence.Recent =
      window(calls(1'000, 450), calls(100, 32));
  BOOST_TEST(
      (Evaluator.evaluate(Evidence).Outcome == evaluation_outcome::undecided));
  Evidence.SinceStep = Evidence.Recent =
      window(calls(1'000, 20), calls(100, 2));
  BOOST_TEST(
      (Evaluator.evaluate(Evidence).Outcome == evaluation_outcome::good));
  Evidence.SinceStep = Evidence.Recent =
      window(calls(1'000, 200), calls(100, 90));
  BOOST_TEST((Evaluator.evaluate(Evidence).Outcome == evaluation_outcome::bad));
}

BOOST_AUTO_TEST_CASE(a_deadline_too_close_is_refused_at_once) {
  move_rule Rule = makeRule();
  Rule.Deadline = Start + seconds(10);
  auto After = decide(planned(), healthy({}), Start, Rule);
  BOOST_REQUIRE(After.has_value());
  BOOST_TEST((After->Phase == move_phase::taken_back));
}

BOOST_AUTO_TEST_CASE(too_few_workers_at_the_deadline_take_the_move_back) {
  move_observation Observation = healthy({});
  Observation.NewWorkers = Observation.NewReporters = 2;
  BOOST_TEST(!decide(planned(), Observation, Start + seconds(200)));
  auto After = decide(planned(), Observation, makeRule().Deadline);
  BOOST_REQUIRE(After.has_value());
  BOOST_TEST((After->Phase == move_phase::taken_back));
  BOOST_TEST(After->Reason.find("2 of 5 workers") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_loss_of_new_workers_takes_the_move_back) {
  move_observation Observation = healthy(window(calls(900, 0), calls(100, 0)));
  Observation.NewWorkers = Observation.NewReporters = 1;
  Observation.TooFewWorkersSince = Start + seconds(20);
  BOOST_TEST(!decide(stepping(1'000), Observation, Start + seconds(25)));
  auto After = decide(stepping(1'000), Observation, Start + seconds(31));
  BOOST_REQUIRE(After.has_value());
  BOOST_TEST((After->Phase == move_phase::taken_back));
}

BOOST_AUTO_TEST_CASE(the_share_rises_only_on_fresh_reports_and_with_capacity) {
  move_observation Observation = healthy(window(calls(900, 0), calls(100, 0)));
  instant Due = Start + seconds(100);
  auto After = decide(stepping(1'000), Observation, Due);
  BOOST_REQUIRE(After.has_value());
  BOOST_TEST(After->Share == 2'500U);
  Observation.NewReporters = 2;
  BOOST_TEST(!decide(stepping(1'000), Observation, Due));
  Observation.NewReporters = 5;
  Observation.NewSlots = 1;
  BOOST_TEST(!decide(stepping(1'000), Observation, Due));
}

BOOST_AUTO_TEST_CASE(a_move_with_too_few_calls_is_taken_back_at_its_deadline) {
  move_observation Observation = healthy(window({}, calls(3, 0)));
  Observation.Evidence.Uncompared = true;
  auto After = decide(stepping(FullShare), Observation, makeRule().Deadline);
  BOOST_REQUIRE(After.has_value());
  BOOST_TEST((After->Phase == move_phase::taken_back));
  BOOST_TEST(After->Reason.find("only 3 calls") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(failures_at_full_share_step_back_to_compare_versions) {
  move_observation Observation = healthy(window({}, calls(200, 60)));
  Observation.Evidence.Earlier = {window(calls(1'000, 1), calls(300, 0))};
  Observation.Evidence.WorstOldInterval = {{Pay, calls(500, 1)}};
  Observation.Evidence.Uncompared = true;
  auto After = decide(stepping(FullShare), Observation, Start + seconds(50));
  BOOST_REQUIRE(After.has_value());
  BOOST_TEST((After->Phase == move_phase::stepping));
  BOOST_TEST(After->Share == 2'500U);
  BOOST_TEST(After->StepsBack == 1U);
}

BOOST_AUTO_TEST_CASE(progress_of_a_move_applies_only_to_its_version) {
  move_rule Rule = makeRule();
  Rule.To = version_name("3");
  move_progress Done = stepping(FullShare);
  Done.Recorded = move_verdict::done;
  BOOST_TEST(shareOf(planMove(Rule), Done) == 0U);
  BOOST_TEST(shareOf(planMove(makeRule()), Done) == FullShare);
}

BOOST_AUTO_TEST_CASE(a_later_deadline_lengthens_the_remaining_steps) {
  move_rule Later = makeRule();
  Later.Deadline += seconds(600);
  instant Since = Start + seconds(100);
  BOOST_TEST((planMove(Later).durationOf(1'000, Since) >
              planMove(makeRule()).durationOf(1'000, Since)));
}

BOOST_AUTO_TEST_CASE(calls_from_before_the_first_report_do_not_count) {
  evidence_registry Registry;
  evidence_report Report{node_id("n"),
                         incarnation(1),
                         service_name("kassa"),
                         version_name("1"),
                         1,
                         {{Pay, calls(1'000, 900)}}};
  Registry.addReport(Report, Start);
  Report.Sequence = 2;
  Report.Routes[Pay].add(calls(10, 1));
  Registry.addReport(Report, Start);
  Registry.addReport(Report, Start); // duplicate report
  Report.Sequence = 1;               // report out of order
  Report.Routes[Pay] = calls(5'000, 5'000);
  Registry.addReport(Report, Start);
  evidence_window Window = Registry.collectWindow(
      window_kind::step, version_name("1"), version_name("2"));
  BOOST_TEST(Window.Old[Pay].Calls == 10U);
  BOOST_TEST(Window.Old[Pay].Failures == 1U);
}

BOOST_AUTO_TEST_CASE(the_circuit_breaker_opens_after_several_local_failures) {
  local_circuit_breaker Breaker;
  Breaker.updateProgress(makeRule(), stepping(500));
  service_name Service("kassa");
  for (int Index = 0; Index < 200; ++Index)
    BOOST_TEST(!Breaker.record(Service, version_name("1"), false));
  bool Stopped = false;
  int Failures = 0;
  while (!Stopped && Failures < 20) {
    ++Failures;
    Stopped = Breaker.record(Service, version_name("2"), true).has_value();
  }
  BOOST_TEST(Stopped);
  BOOST_TEST(Failures >= 3);
}

BOOST_AUTO_TEST_CASE(a_worker_warms_up_for_a_bounded_time) {
  warm_up Worker;
  Worker.callEnded(Start);
  BOOST_TEST(Worker.isActive(Start + seconds(11))); // a single call so far
  BOOST_TEST(!Worker.isActive(Start + seconds(30)));
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
  move_observation Observation = healthy(window(calls(900, 0), calls(100, 0)));
  Observation.Evidence.Earlier = {window(calls(10, 1), calls(2, 0))};
  move_progress Before = stepping(1'000);
  instant Due = Start + seconds(100);
  move_progress After = *decide(Before, Observation, Due);
  sequential_evaluator Evaluator;
  move_decider Decider(Evaluator);
  std::string Line =
      writeJournalEntry({Due, makeRule(), Before, Observation, After});
  auto Same = replayJournal(Line + "\n", Decider);
  BOOST_REQUIRE(Same.has_value());
  BOOST_TEST(Same->Steps == 1U);
  BOOST_TEST(Same->Differences.empty());
  After.Share = 9'999;
  Line = writeJournalEntry({Due, makeRule(), Before, Observation, After});
  auto Differs = replayJournal(Line + "\n", Decider);
  BOOST_REQUIRE(Differs.has_value());
  BOOST_REQUIRE(Differs->Differences.size() == 1U);
  BOOST_TEST(Differs->Differences[0].Inputs.find("since_step") !=
             std::string::npos);
  BOOST_TEST(readTimeline(Line).size() == 1U);
}
