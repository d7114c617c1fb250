// Tests which reports of the backend server beside a node and which records of
// other home nodes are accepted.
#include <boost/test/unit_test.hpp>

#include "membership/home_directory.h"
#include "membership/worker_report_filter.h"

using namespace chivebeam;

namespace {

const instant Start = instant(seconds(1'000));
constexpr milliseconds Interval{1'000};

worker_report report(std::string Worker, std::int64_t StartedAtMs,
                     std::uint64_t Sequence,
                     worker_state State = worker_state::ready) {
  worker_report Report;
  Report.Start = {worker_id(std::move(Worker)), StartedAtMs};
  Report.Sequence = Sequence;
  Report.Worker.Service = service_name("desk");
  Report.Worker.State = State;
  return Report;
}

home_record record(std::string Node, std::int64_t StartedAtMs,
                   std::uint64_t Report, std::uint64_t Change = 0) {
  home_record Record;
  Record.Node = node_id(std::move(Node));
  Record.Start = {worker_id("w"), StartedAtMs};
  Record.Report = Report;
  Record.Change = Change;
  return Record;
}

bool isStale(report_effect Effect) { return Effect == report_effect::stale; }

} // namespace

BOOST_AUTO_TEST_CASE(a_late_report_never_revives_a_leaving_server) {
  worker_report_filter Reports(Interval);
  Reports.report(report("w", 10, 5), Start);
  Reports.leave(worker_id("w"), 10, Start);
  BOOST_TEST(isStale(Reports.report(report("w", 10, 4), Start)));
  BOOST_TEST(isStale(Reports.report(report("w", 10, 6), Start)));
  BOOST_TEST((Reports.current()->Worker.State == worker_state::leaving));
}

BOOST_AUTO_TEST_CASE(a_new_start_with_the_same_name_restarts_the_sequence) {
  worker_report_filter Reports(Interval);
  Reports.report(report("w", 10, 50), Start);
  Reports.leave(worker_id("w"), 10, Start);
  BOOST_TEST(
      (Reports.report(report("w", 20, 1), Start) == report_effect::started));
  BOOST_TEST((Reports.current()->Worker.State == worker_state::ready));
  // A delayed report of the previous start.
  BOOST_TEST(isStale(Reports.report(report("w", 10, 51), Start)));
  BOOST_TEST(Reports.current()->Start.StartedAtMs == 20);
}

BOOST_AUTO_TEST_CASE(
    a_start_with_an_earlier_clock_is_accepted_at_its_second_report) {
  worker_report_filter Reports(Interval);
  Reports.report(report("old", 50, 7), Start);
  instant Later = Start + Interval * 4;
  BOOST_TEST(isStale(Reports.report(report("new", 40, 1), Later)));
  BOOST_TEST(
      (Reports.report(report("new", 40, 2), Later) == report_effect::started));
}

BOOST_AUTO_TEST_CASE(a_restored_leaving_state_makes_old_reports_stale) {
  worker_report_filter Reports(Interval);
  Reports.restoreLeaving({worker_id("w"), 10}, 5, Start);
  BOOST_TEST(isStale(Reports.report(report("w", 10, 6), Start)));
  BOOST_TEST(
      (Reports.report(report("w2", 30, 1), Start) == report_effect::started));
}

BOOST_AUTO_TEST_CASE(a_leave_notice_before_any_report_is_kept) {
  worker_report_filter Reports(Interval);
  BOOST_TEST(
      (Reports.leave(worker_id("w"), 10, Start) == report_effect::changed));
  BOOST_TEST(isStale(Reports.report(report("w", 10, 6), Start)));
}

BOOST_AUTO_TEST_CASE(
    reports_of_the_old_start_are_stale_after_an_undated_leave) {
  worker_report_filter Reports(Interval);
  Reports.leave(worker_id("w"), std::nullopt, Start);
  BOOST_TEST(isStale(Reports.report(report("w", 10, 20), Start + seconds(2))));
  BOOST_TEST(isStale(Reports.report(report("w", 10, 21), Start + seconds(3))));
  BOOST_TEST((Reports.report(report("w", 20, 1), Start + seconds(4)) ==
              report_effect::started));
}

BOOST_AUTO_TEST_CASE(a_new_start_after_an_undated_leave_is_accepted) {
  worker_report_filter Reports(Interval);
  Reports.leave(worker_id("w"), std::nullopt, Start);
  BOOST_TEST((Reports.report(report("w", 20, 1), Start + seconds(1)) ==
              report_effect::started));
}

BOOST_AUTO_TEST_CASE(the_newest_record_wins_in_any_order_of_arrival) {
  home_directory Directory;
  BOOST_TEST(Directory.offer(record("n", 10, 5), false));
  BOOST_TEST(!Directory.offer(record("n", 10, 4, 9), true));
  BOOST_TEST(Directory.offer(record("n", 10, 5, 1), true));
  BOOST_TEST(Directory.offer(record("n", 11, 1), false));
  BOOST_TEST(!Directory.offer(record("n", 10, 99), true));
  BOOST_TEST(Directory.find(node_id("n"))->Start.StartedAtMs == 11);
}

BOOST_AUTO_TEST_CASE(a_removed_entry_expires_after_a_grace_unless_it_answers) {
  home_directory Directory;
  Directory.offer(record("silent", 1, 1), true);
  Directory.offer(record("alive", 1, 1), true);
  Directory.offer(record("back", 1, 1), true);
  Directory.keepOnly({}, Start);
  BOOST_TEST(Directory.nodesInRemovalGrace().size() == 3u);
  instant Late = Start + home_directory::RemovalGrace;
  BOOST_TEST(!Directory.expire(Late - milliseconds(1)));
  Directory.nodeAnswered(node_id("alive"), Late);
  Directory.offer(record("back", 1, 1), true);
  BOOST_TEST(Directory.expire(Late));
  BOOST_TEST(!Directory.find(node_id("silent")));
  BOOST_TEST(Directory.find(node_id("alive")));
  BOOST_TEST(Directory.find(node_id("back")));
  BOOST_TEST(Directory.expire(Late + home_directory::AnswerLifetime));
  BOOST_TEST(!Directory.find(node_id("alive")));
}
