#include <boost/test/unit_test.hpp>

#include "telemetry/call_metrics.h"

using namespace chivebeam;

namespace {

std::string textOf(const call_metrics &Metrics) {
  std::string Text;
  Metrics.write(Text);
  return Text;
}

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(histograms_are_kept_for_each_class_and_workspace) {
  call_metrics Metrics;
  Metrics.record(work_class::payment, workspace_name("shop-7"), false,
                 milliseconds(3));
  Metrics.record(work_class::payment, workspace_name("shop-7"), true,
                 milliseconds(40));
  Metrics.record(work_class::status, workspace_name("shop-8"), false,
                 milliseconds(1));
  std::string Text = textOf(Metrics);
  BOOST_TEST(contains(Text, "chivebeam_call_seconds_count{class=\"payment\","
                            "tenant=\"shop-7\"} 2\n"));
  BOOST_TEST(contains(Text, "chivebeam_call_failures_total{class=\"payment\","
                            "tenant=\"shop-7\"} 1\n"));
  BOOST_TEST(contains(Text, "chivebeam_call_seconds_count{class=\"status\","
                            "tenant=\"shop-8\"} 1\n"));
}

BOOST_AUTO_TEST_CASE(buckets_are_cumulative_and_end_at_infinity) {
  call_metrics Metrics;
  for (int Call = 0; Call < 10; ++Call)
    Metrics.record(work_class::status, workspace_name("t"), false,
                   milliseconds(1 + Call));
  BOOST_TEST(contains(textOf(Metrics),
                      "chivebeam_call_seconds_bucket{class=\"status\","
                      "tenant=\"t\",le=\"+Inf\"} 10\n"));
}

BOOST_AUTO_TEST_CASE(the_number_of_workspaces_is_bounded) {
  call_metrics Metrics;
  constexpr int Workspaces = 10'000;
  for (int Workspace = 0; Workspace < Workspaces; ++Workspace)
    Metrics.record(work_class::status,
                   workspace_name("t" + std::to_string(Workspace)), false,
                   milliseconds(1));
  std::string Text = textOf(Metrics);
  BOOST_TEST(contains(Text, "tenant=\"other\"} 9744\n"));
}

BOOST_AUTO_TEST_CASE(label_values_are_escaped) {
  call_metrics Metrics;
  Metrics.record(work_class::status, workspace_name("a\"b\nc"), false,
                 milliseconds(1));
  BOOST_TEST(contains(textOf(Metrics), "tenant=\"a\\\"b\\nc\""));
}
